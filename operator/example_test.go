package operator_test

import (
	"fmt"
	"time"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/table"
)

// smallFleet returns three instances of one service with a budget of one.
func smallFleet() *operator.Fleet {
	ft := &operator.Fleet{
		Services: map[table.ServiceID]*table.Service{"books": {ID: "books", Connections: 64, Asked: 3, Budget: 1}},
		Down:     map[table.InstanceID]bool{},
		Sessions: map[table.InstanceID]map[table.ServiceID]int{"w1": {"books": 4}, "w2": {"books": 2}, "w3": {"books": 5}},
	}
	for _, id := range []table.InstanceID{"w1", "w2", "w3"} {
		ft.Instances = append(ft.Instances, &table.Instance{ID: id, Rack: "r1", State: table.InstanceServing, Services: []table.ServiceID{"books"}})
	}
	return ft
}

func ExampleAdmit() {
	ft := smallFleet()
	fmt.Println(operator.Admit(ft, ft.Instances[0]))
	ft.Down["w3"] = true
	fmt.Println(operator.Admit(ft, ft.Instances[0]))
	// Output:
	// []
	// [service books has 2 usable instances and needs 2]
}

func ExamplePlanner_Propose() {
	pl := operator.Planner{Weights: operator.Weights{Moves: 1}, Timing: operator.Timing{MeanSessionDuration: time.Hour, RebootDuration: 10 * time.Minute}}
	pn, _ := pl.Propose(smallFleet(), operator.Intent{Kind: operator.KindReboot, Racks: []table.RackID{"r1"}, Why: "kernel"})
	for _, wv := range pn.Waves {
		fmt.Println(wv.Instances, wv.AwaitSessionEnd)
	}
	fmt.Println(pn.Estimate.Moves, "sessions move")
	// Output:
	// [w2] true
	// [w1] false
	// [w3] false
	// 9 sessions move
}

func ExampleDecide() {
	ft := smallFleet()
	in := ft.Instances[0]
	in.Hold = &table.Hold{Plan: "p1", Phase: table.PhaseDrained}
	dc := operator.Decide(operator.Input{
		Plan: &operator.Plan{ID: "p1", Status: operator.PlanRunning}, Fleet: ft, Instance: in,
		Acks: []operator.Ack{{Entry: "e1", Reachable: true, Seen: true}, {Entry: "e2"}},
	})
	fmt.Println(dc.Step, dc.Reason)
	// Output: wait instance w1: entry instance e2 cannot be asked
}

func ExampleDifferences() {
	base := []operator.Precondition{{Subject: "instance w1", Value: "serving in pool a"}}
	now := []operator.Precondition{{Subject: "instance w1", Value: "serving in pool b"}}
	fmt.Println(operator.Differences(base, now))
	// Output: [instance w1 was serving in pool a, is serving in pool b]
}
