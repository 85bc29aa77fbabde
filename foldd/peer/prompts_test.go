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
			{Parts: []string{"a", "b"}, Crash: poison.Crash{Backend: "e", Epoch: 7}, Begun: true, Age: 3 * time.Second},
			{Parts: []string{"c"}, Crash: poison.Crash{Backend: "f"}},
		},
		Survivals: []poison.Survival{{Part: "a", Age: 20 * time.Millisecond}},
	}
	if got := fromPromptUpdate(toPromptUpdate(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if m := toPromptUpdate(poison.Update{}); m != nil {
		t.Errorf("an empty update is sent as %v", m)
	}
	if got := fromPromptUpdate(nil); len(got.Losses)+len(got.Survivals) != 0 {
		t.Errorf("got %+v of a VM that sends none", got)
	}
	far := fromPromptUpdate(&wire.PromptUpdate{Survivals: []*wire.PromptSurvival{{Part: "a", AgeMillis: math.MaxUint64}}})
	if far.Survivals[0].Age >= 0 {
		t.Errorf("age %v of a number that is too large, want a negative one", far.Survivals[0].Age)
	}
}
