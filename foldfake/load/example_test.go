package load_test

import (
	"fmt"
	"time"

	"fuchsiafold.example/fold/place"
	"fuchsiafold.example/foldfake/load"
	"fuchsiafold.example/foldfake/model"
)

func ExamplePlay() {
	engines := []load.Engine{{Domain: "a"}, {Domain: "a", Params: model.Params{StepBase: 80 * time.Millisecond}}}
	request := load.Request{Class: "draft", Domain: "a", PromptTokens: 100, Length: 20, MaxTokens: 40, FirstToken: time.Second, Deadline: time.Minute}
	for _, o := range load.Play(engines, []load.Request{request}, &place.Placer{}) {
		fmt.Println(o.Rejections, o.OnTime(), o.Duration().Round(10*time.Millisecond))
	}
	// Output: 0 true 160ms
}
