package endpoint_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
)

// TestDeadlinePassedBeforeTheFirstByteSendsNothing stands for a process that was frozen while its claim was written.
func TestDeadlinePassedBeforeTheFirstByteSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newBed(t, 1, 1, 0)
		rt := bd.router()
		late := call(time.Second)
		late.BeforeSend = func() error {
			time.Sleep(2 * time.Second)
			return nil
		}
		rs := rt.Do(context.Background(), late)
		if rs.Outcome != endpoint.OutcomeNotRun || len(rs.Ends) != 0 {
			t.Errorf("%s with attempts %v", rs.Outcome, rs.Ends)
		}
		if received := bd.endpoints[0].Counts().Received; received != 0 {
			t.Errorf("the endpoint received %d requests", received)
		}
		bd.close(rt)
	})
}
