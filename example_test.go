package tinbeam_test

import (
	"fmt"
	"time"

	"tinbeam"
)

// A controller receives events and appends the actions that follow from them.
func Example() {
	controller := tinbeam.New(tinbeam.Settings{LocalExchange: 1, Replicas: 2, MaxAttempts: 3, Classes: []tinbeam.Class{
		{AnswerTarget: 2 * time.Second, HardLimit: 9 * time.Second, Value: 1, Width: 1, MeanHold: 10 * time.Second}}}, 42)
	now := 10 * time.Second
	var actions []tinbeam.Action
	actions = controller.Handle(now, tinbeam.Topology{Kind: tinbeam.ListCached, Entries: []tinbeam.Entry{
		{Switch: 11, ExchangeNumber: 1, Mode: tinbeam.Ready}, {Switch: 12, ExchangeNumber: 2, Mode: tinbeam.Ready}}}, actions[:0])
	actions = controller.Handle(now, tinbeam.Offer{Ref: 7, Number: 555, Width: 1, TimeLeft: 3 * time.Second, Dest: 2,
		Via: -1}, actions[:0])
	for _, action := range actions {
		if attempt, ok := action.(tinbeam.Attempt); ok {
			fmt.Printf("set call %d up towards switch %d\n", attempt.Ref, attempt.Switch)
		}
	}
	// Output: set call 7 up towards switch 12
}
