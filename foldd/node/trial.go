package node

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"fuchsiafold.example/fold/spec"
	"fuchsiafold.example/fold/trial"
)

// policyMeasures holds the measures of each policy in force. The zero value is
// empty and ready to use.
type policyMeasures struct {
	// mu protects the fields below.
	mu       sync.Mutex
	byPolicy map[string]*trial.Measures
	// trial is the trial that the measures belong to. They are discarded when
	// another trial begins.
	trial spec.Trial
}

// AssignPolicy returns the policy for a request that arrives now. It returns an
// empty name if no configuration is in force.
func (n *Node) AssignPolicy() string {
	x := n.Index()
	if x == nil {
		return ""
	}
	t := x.Document().Trial
	if t == nil {
		n.measures.beginTrial(spec.Trial{})
		return x.ActivePolicies()[0]
	}
	n.measures.beginTrial(*t)
	key := n.Settings.ID + "/" + strconv.FormatUint(n.NextID(), 10)
	return trial.PolicyFor(t, key, time.Now())
}

// beginTrial discards the measures if t is not the trial that they belong to.
func (m *policyMeasures) beginTrial(t spec.Trial) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.trial != t {
		m.trial = t
		m.byPolicy = nil
	}
}

// forPolicy returns the measures of a policy, which it creates if needed. The
// caller holds the lock of m.
func (m *policyMeasures) forPolicy(policy string) *trial.Measures {
	a := m.byPolicy[policy]
	if a == nil {
		if m.byPolicy == nil {
			m.byPolicy = map[string]*trial.Measures{}
		}
		a = trial.NewMeasures(policy)
		m.byPolicy[policy] = a
	}
	return a
}

// ObserveTokenGap records the time between two tokens of an answer under a policy.
func (n *Node) ObserveTokenGap(policy string, d time.Duration) {
	n.measures.mu.Lock()
	defer n.measures.mu.Unlock()
	n.measures.forPolicy(policy).RecordGap(d)
}

// ObserveRequest records a request that has ended under a policy.
func (n *Node) ObserveRequest(policy string, r trial.Sample) {
	n.measures.mu.Lock()
	defer n.measures.mu.Unlock()
	length := trial.DefaultBucketLength
	if t := n.measures.trial; t.Split == spec.SplitWindow {
		length = time.Duration(t.Window)
	}
	n.measures.forPolicy(policy).RecordRequest(time.Now().UnixNano()/int64(length), r)
}

// Measures calls f for the measures of each policy, ordered by name. It holds the
// lock meanwhile, so f must not call other methods that record measures.
func (n *Node) Measures(f func(m *trial.Measures)) {
	n.measures.mu.Lock()
	defer n.measures.mu.Unlock()
	list := make([]*trial.Measures, 0, len(n.measures.byPolicy))
	for _, m := range n.measures.byPolicy {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *trial.Measures) int { return cmp.Compare(a.Policy, b.Policy) })
	for _, m := range list {
		f(m)
	}
}
