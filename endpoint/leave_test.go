package endpoint

import (
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/platform"
)

// TestLeavingBetweenPickAndPlaceIsSeen lets an endpoint begin to leave after it was picked and before its place is taken.
// An acknowledgement given in between has counted no place, so none may be taken after it.
func TestLeavingBetweenPickAndPlaceIsSeen(t *testing.T) {
	rowsAt := func(version platform.Version, state platform.InstanceState) []platform.Row {
		service, err := platform.Encode(platform.Service{ID: "s", Slots: 8, Connections: 64})
		if err != nil {
			t.Fatal(err)
		}
		instance, err := platform.Encode(platform.Instance{ID: "w1", Address: "10.0.0.1:1", State: state, Epoch: 1, Services: []platform.ServiceID{"s"}})
		if err != nil {
			t.Fatal(err)
		}
		return []platform.Row{{Table: platform.TableService, Key: "s", Version: 1, Value: service}, {Table: platform.TableInstance, Key: "w1", Version: version, Value: instance}}
	}
	members := []platform.Member{{ID: "w1", Role: platform.RoleWorker, State: platform.MemberLive}}
	serving, _ := platform.EmptySnapshot().Merge(rowsAt(2, platform.InstanceServing))
	leaving, _ := platform.EmptySnapshot().Merge(rowsAt(3, platform.InstanceLeaving))
	var rt *Router
	rt = NewRouter(WithRandom(func(int) int {
		rt.Update(leaving.WithMembers(members))
		return 0
	}))
	rt.Update(serving.WithMembers(members))
	pl, err := rt.tryAcquire(&Call{Service: "s", Repeatable: true, Deadline: time.Now().Add(time.Second)}, nil)
	if err == nil {
		t.Errorf("took a place of %s after it began to leave", pl.st.id)
	}
	if open, _ := rt.InFlight("w1"); open != 0 {
		t.Errorf("%d places are still taken", open)
	}
}
