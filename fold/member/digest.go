package member

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// LeaseBuckets is the number of buckets into which backend servers, or VMs, are divided
// by the hash of their IDs. Two VMs that know different members of one bucket can still
// renew the leases of all other buckets by a digest.
const LeaseBuckets = 16

// Leases is a digest of the leases that one VM knows: either those of backend servers,
// which is all live ones except those of kind spec.KindEngine, whose updates carry loads
// as well, or those of the live VMs. It takes two bytes a member on the wire, where a
// record takes about fifty.
type Leases [LeaseBuckets]LeaseBucket

// LeaseBucket holds the leases of one bucket.
type LeaseBucket struct {
	// Members is a hash of the IDs, the epochs and the leaving marks of the bucket's
	// members. A VM that is draining counts as leaving.
	Members uint32
	// Leases holds the lease of each of them, in the order of their IDs.
	Leases []Lease
}

// Lease is the lease of one member.
type Lease struct {
	// Seq is the lowest byte of the sequence number of the member's last report, and
	// Age the time since then.
	Seq uint8
	Age time.Duration
}

// EqualBuckets reports for each bucket whether two VMs know the same members.
type EqualBuckets [LeaseBuckets]bool

// All reports whether two VMs know the same members in all buckets.
func (e *EqualBuckets) All() bool {
	for _, equal := range e {
		if !equal {
			return false
		}
	}
	return true
}

// leaseBucket returns the bucket of a member.
func leaseBucket(id string) uint64 { return xxhash.Sum64String(id) % LeaseBuckets }

// appendMember appends what the hash of a bucket covers of one member to data.
func appendMember(data []byte, id string, epoch uint64, leaving bool) []byte {
	data = append(data, id...)
	data = append(data, 0)
	data = binary.BigEndian.AppendUint64(data, epoch)
	if leaving {
		data = append(data, 1)
	}
	return data
}

// hashMembers returns the hash of LeaseBucket.Members of what appendMember appended.
func hashMembers(data []byte) uint32 { return uint32(xxhash.Sum64(data)) }

// maxSeqLead is the largest number of reports by which one VM can be ahead of another for
// a lease to be renewed. A larger difference of the lowest bytes means that it is behind.
const maxSeqLead = 127

// lead returns by how many reports l is ahead of the sequence number seq, zero if it is
// not ahead or has ended. The age alone would not tell: it is too low by the time that the
// message took, so that two VMs could renew the lease of a dead member for each other.
func (l Lease) lead(seq uint64, lease time.Duration) uint64 {
	lead := l.Seq - uint8(seq)
	if lead > maxSeqLead || l.Age >= lease {
		return 0
	}
	return uint64(lead)
}
