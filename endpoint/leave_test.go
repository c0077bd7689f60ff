package endpoint

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/table"
)

// TestLeavingBetweenPickAndAcquireIsSeen lets an endpoint begin to leave after it was picked and before its slot is acquired.
// An acknowledgement sent in between has counted no slot, so none may be acquired after it.
func TestLeavingBetweenPickAndAcquireIsSeen(t *testing.T) {
	rowsAt := func(version table.Version, state table.InstanceState) []table.Row {
		service, err := table.Encode(table.Service{ID: "s", Slots: 8, Connections: 64})
		if err != nil {
			t.Fatal(err)
		}
		instance, err := table.Encode(table.Instance{ID: "w1", Address: "10.0.0.1:1", State: state, Epoch: 1, Services: []table.ServiceID{"s"}})
		if err != nil {
			t.Fatal(err)
		}
		return []table.Row{{Table: table.TableService, Key: "s", Version: 1, Value: service}, {Table: table.TableInstance, Key: "w1", Version: version, Value: instance}}
	}
	members := []table.Member{{ID: "w1", Role: table.RoleWorker, State: table.MemberLive}}
	serving, _ := table.EmptySnapshot().Merge(rowsAt(2, table.InstanceServing))
	leaving, _ := table.EmptySnapshot().Merge(rowsAt(3, table.InstanceLeaving))
	var rt *Router
	rt = NewRouter(WithRandom(func(int) int {
		rt.Update(leaving.WithMembers(members))
		return 0
	}))
	rt.Update(serving.WithMembers(members))
	sl, err := rt.tryAcquire(&Call{Service: "s", Repeatable: true, Deadline: time.Now().Add(time.Second)}, nil)
	if err == nil {
		t.Errorf("acquired a slot of %s after it began to leave", sl.st.id)
	}
	if inFlight, _ := rt.InFlight("w1"); inFlight != 0 {
		t.Errorf("%d slots are still in use", inFlight)
	}
}
