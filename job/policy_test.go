package job

import (
	"reflect"
	"testing"
	"time"
)

// Guards against a job's row losing a part of its queue's policy.
func TestRowOfAJobHoldsThePolicyOfItsQueue(t *testing.T) {
	qu := Queue{ID: "q", Host: "h", PathPrefix: "/q/", Pool: "pool", Priority: 2, MaxAttempts: 4, Stretch: 1.6, Slack: time.Second, Advice: &Advice{DecisionTime: 3 * time.Millisecond, PerWorkerTime: time.Millisecond, ValidFor: time.Minute}}
	raw, err := EncodeSpec(&Spec{ID: "a", Queue: qu.ID, Pool: qu.Pool, Steps: []Step{{Count: 1, Size: Size{CPUMillis: 1, MemoryMB: 1}}}, Policy: qu.Policy()})
	if err != nil {
		t.Fatal(err)
	}
	sp, err := DecodeSpec(raw)
	if err != nil {
		t.Fatal(err)
	}
	if got := sp.FormerQueue(); !reflect.DeepEqual(got, qu) {
		t.Errorf("%+v, want %+v", got, qu)
	}
}
