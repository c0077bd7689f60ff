package endpoint_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aspenseam/aspenseam/endpoint"
	"github.com/aspenseam/aspenseam/standin"
)

// TestDeadlinePassedBeforeTheFirstByteSendsNothing guards against a request that is sent after its deadline.
// This happens when the process is frozen while the claim is written in BeforeSend.
func TestDeadlinePassedBeforeTheFirstByteSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newTestBed(t, 1, 1, 0)
		rt := bd.router()
		late := newCall(time.Second)
		late.BeforeSend = func() error {
			time.Sleep(2 * time.Second)
			return nil
		}
		rs := rt.Do(context.Background(), late)
		if rs.Outcome != endpoint.OutcomeNotRun || len(rs.AttemptOutcomes) != 0 {
			t.Errorf("%s with attempts %v", rs.Outcome, rs.AttemptOutcomes)
		}
		if received := bd.endpoints[0].Counts().Received; received != 0 {
			t.Errorf("the endpoint received %d requests", received)
		}
		bd.close(rt)
	})
}

// TestServerErrorIsReturnedWhenAnotherAttemptHangs guards against losing a server error, which is a complete answer,
// when the retry at another endpoint does not end before the deadline.
func TestServerErrorIsReturnedWhenAnotherAttemptHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bd := newTestBed(t, 2, 1, 0)
		bd.endpoints[0].Switch(standin.EndpointFaults{Status: http.StatusInternalServerError})
		bd.endpoints[1].Switch(standin.EndpointFaults{WorkMs: 10000})
		rt := bd.router(endpoint.WithRandom(func(int) int { return 0 }))
		rs := rt.Do(context.Background(), newCall(300*time.Millisecond))
		if rs.Outcome != endpoint.OutcomeAnswered || rs.Answer == nil || rs.Answer.Status != http.StatusInternalServerError {
			t.Errorf("%s with answer %v after %v", rs.Outcome, rs.Answer, rs.AttemptOutcomes)
		}
		time.Sleep(time.Minute)
		bd.close(rt)
	})
}
