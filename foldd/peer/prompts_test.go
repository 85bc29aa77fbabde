package peer

import (
	"math"
	"reflect"
	"testing"
	"time"

	"fuchsiafold.example/fold/poison"
	"fuchsiafold.example/wire"
)

func TestPromptUpdateOnTheWire(t *testing.T) {
	want := poison.Update{
		Losses: []poison.Loss{
			{Parts: []string{"a", "b"}, Crash: poison.Crash{Backend: "e", Epoch: 7}, Begun: true, Cleared: 2, Age: 3 * time.Second},
			{Parts: []string{"c"}, Crash: poison.Crash{Backend: "f"}},
		},
		Sound: []string{"a"},
	}
	if got := fromPromptUpdate(toPromptUpdate(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if m := toPromptUpdate(poison.Update{}); m != nil {
		t.Errorf("an empty update is sent as %v", m)
	}
	if got := fromPromptUpdate(nil); !got.Empty() {
		t.Errorf("got %+v of a VM that sends none", got)
	}
	far := fromPromptUpdate(&wire.PromptUpdate{Losses: []*wire.PromptLoss{{Parts: []string{"a"}, AgeMillis: math.MaxUint64}}})
	if far.Losses[0].Age >= 0 {
		t.Errorf("age %v of a number that is too large, want a negative one", far.Losses[0].Age)
	}
}
