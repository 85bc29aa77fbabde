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

// meters holds the measures of each policy in force. The zero value is empty.
type meters struct {
	mu   sync.Mutex
	arms map[string]*trial.Measures
	// trial is the trial that the measures belong to; another one starts anew.
	trial spec.Trial
}

// AssignPolicy returns the policy for a request that arrives now.
func (n *Node) AssignPolicy() string {
	x := n.Index()
	if x == nil {
		return ""
	}
	t := x.Document().Trial
	if t == nil {
		n.meters.begin(spec.Trial{})
		return x.ActivePolicies()[0]
	}
	n.meters.begin(*t)
	key := n.Settings.ID + "/" + strconv.FormatUint(n.NextID(), 10)
	return trial.PolicyFor(t, key, time.Now())
}

func (m *meters) begin(t spec.Trial) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.trial != t {
		m.trial = t
		m.arms = nil
	}
}

func (m *meters) arm(policy string) *trial.Measures {
	a := m.arms[policy]
	if a == nil {
		if m.arms == nil {
			m.arms = map[string]*trial.Measures{}
		}
		a = trial.NewMeasures(policy)
		m.arms[policy] = a
	}
	return a
}

// ObserveTokenGap counts the time between two tokens of a policy's answer.
func (n *Node) ObserveTokenGap(policy string, d time.Duration) {
	n.meters.mu.Lock()
	defer n.meters.mu.Unlock()
	n.meters.arm(policy).RecordGap(d)
}

// ObserveRequest counts a policy's request that has ended.
func (n *Node) ObserveRequest(policy string, r trial.Sample) {
	n.meters.mu.Lock()
	defer n.meters.mu.Unlock()
	length := trial.DefaultBucketLength
	if t := n.meters.trial; t.Split == spec.SplitWindow {
		length = time.Duration(t.Window)
	}
	n.meters.arm(policy).RecordRequest(time.Now().UnixNano()/int64(length), r)
}

// Measures calls f for the measures of each policy, ordered by name.
func (n *Node) Measures(f func(m *trial.Measures)) {
	n.meters.mu.Lock()
	defer n.meters.mu.Unlock()
	list := make([]*trial.Measures, 0, len(n.meters.arms))
	for _, m := range n.meters.arms {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *trial.Measures) int { return cmp.Compare(a.Policy, b.Policy) })
	for _, m := range list {
		f(m)
	}
}
