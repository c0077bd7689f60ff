package endpoint_test

import (
	"fmt"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
)

func ExamplePick() {
	loads := []endpoint.Load{
		{ID: "w1", SameHall: true, Limit: 5, InFlight: 5, Latency: 10 * time.Millisecond},
		{ID: "w2", SameHall: true, Limit: 5, InFlight: 1, Latency: 10 * time.Millisecond},
		{ID: "w3", SameHall: true, Health: endpoint.StatusEjected, Limit: 5},
		{ID: "w4", Limit: 5},
	}
	choice := endpoint.Pick(loads, true, 0.5, func(int) int { return 0 })
	fmt.Println(loads[choice.Index].ID)
	// Output: w2
}

func ExampleNewShare() {
	// Eight slots and 64 connections, three live entry instances of at most nine.
	fmt.Printf("%+v\n", endpoint.NewShare(8, 64, 3, 9))
	// Output: {Least:2 Most:5}
}

func ExampleMayRetry() {
	fmt.Println(endpoint.MayRetry(endpoint.Refused, false), endpoint.MayRetry(endpoint.MaybeRun, false), endpoint.MayRetry(endpoint.MaybeRun, true))
	// Output: true false true
}
