package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"fuchsiafold.example/fold/limit"
	"fuchsiafold.example/fold/member"
	"fuchsiafold.example/fold/poison"
)

// TestBoundsAreTold guards against a bound that turns a protection off without a log line.
func TestBoundsAreTold(t *testing.T) {
	for what, tt := range map[string]struct {
		exceed func(n *Node)
		// line is the message of the line, and field one of its fields.
		line, field string
	}{
		"parts of a prompt": {
			func(n *Node) {
				parts := []string{poison.Fingerprint("1")}
				for i := range poison.Checked() + 10 {
					parts = append(parts, fmt.Sprint("part", i))
				}
				n.PromptLost(parts, member.Backend{ID: "e", Epoch: 1}, true)
			}, "engine crashed under a prompt", "unchecked",
		},
		"losses": {
			func(n *Node) {
				for i := range 1000 {
					n.PromptLost([]string{fmt.Sprint("part", i)}, member.Backend{ID: "e", Epoch: uint64(i)}, true)
				}
			}, "more runs were lost in crashes than this VM remembers; forgetting the oldest", "dropped",
		},
		"losses of another VM": {
			func(n *Node) {
				n.ReceivePromptUpdate(poison.Update{Losses: []poison.Loss{{Parts: []string{"p"}, Crash: poison.Crash{Backend: strings.Repeat("i", 256)}}}}, "vm2")
			}, "update on prompts has entries that can't be valid; ignoring these", "from",
		},
		"rate limit": {
			func(n *Node) {
				n.ObserveLimit(member.Backend{ID: "e", Epoch: 1}, limit.ParseStatement([]string{"5", "6"}))
			}, "rate limit of a backend server is no number; ignored", "value",
		},
		"rate limits": {
			func(n *Node) {
				for i := range 5000 {
					n.ObserveLimit(member.Backend{ID: fmt.Sprint("e", i), Epoch: 1}, limit.ParseStatement([]string{"5"}))
				}
			}, "more servers name a rate limit than this VM remembers; forgetting the oldest limits", "dropped",
		},
	} {
		n := testNode(t)
		hook := test.NewLocal(n.Log)
		tt.exceed(n)
		told := func(e *logrus.Entry) bool { return e.Message == tt.line && e.Data[tt.field] != nil }
		if !slices.ContainsFunc(hook.AllEntries(), told) {
			t.Errorf("%s: no line %q with %s", what, tt.line, tt.field)
		}
	}
}
