package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestJobsAreTheirOrganisations: through both instances, from the owner and from the store, a job is seen, sent again and cancelled by callers of
// its own organisation alone; one without an organisation by all.
func TestJobsAreTheirOrganisations(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	one, two := st.start("one"), st.start("two")
	st.owner(one, two)
	ctx, cancel := context.WithTimeout(t.Context(), longWait)
	defer cancel()
	hand := func(nd *testNode, id job.ID, by job.OrganisationID) Verdict {
		sp := spec(id)
		sp.Organisation = by
		vd, _ := nd.Submit(ctx, sp)
		return vd
	}
	if vd := hand(one, "m1", "mill"); vd != Accepted {
		t.Fatalf("handed in: %v", vd)
	}
	if vd := hand(one, "n1", ""); vd != Accepted {
		t.Fatalf("handed in by nobody: %v", vd)
	}
	for at, nd := range []*testNode{one, two} {
		if vd := hand(nd, "m1", "mill"); vd != Accepted {
			t.Errorf("%d: second try of the same organisation: %v", at, vd)
		}
		if vd := hand(nd, "m1", "yard"); vd != Foreign {
			t.Errorf("%d: second try of another organisation: %v", at, vd)
		}
		if _, err := nd.State(ctx, "yard", &testQueue, "m1"); !errors.Is(err, job.ErrOtherOrganisation) {
			t.Errorf("%d: seen by another: %v", at, err)
		}
		if err := nd.Cancel(ctx, "yard", "m1"); !errors.Is(err, job.ErrOtherOrganisation) {
			t.Errorf("%d: cancelled by another: %v", at, err)
		}
		if _, err := nd.State(ctx, "yard", &testQueue, "n1"); err != nil {
			t.Errorf("%d: nobody's job: %v", at, err)
		}
	}
	st.eventually("the end as its organisation sees it", func() bool {
		state, err := two.State(ctx, "mill", &testQueue, "m1")
		return err == nil && state == job.Completed
	})
	st.once("m1")
	// Without the owner the store tells whose it is.
	three := st.start("three")
	st.eventually("an answer of an instance that knows nothing of the job", func() bool {
		_, err := three.State(ctx, "yard", &testQueue, "m1")
		return errors.Is(err, job.ErrOtherOrganisation)
	})
}

// TestOrganisationThatGoesLosesNoJob: a newer configuration without the organisation, while its job waits for a worker.
func TestOrganisationThatGoesLosesNoJob(t *testing.T) {
	st := newSite(t, 30*time.Millisecond)
	one := st.start("one")
	st.owner(one)
	ctx, cancel := context.WithTimeout(t.Context(), longWait)
	defer cancel()
	cf := *one.Configuration()
	cf.Version++
	cf.Organisations = job.NewDirectory([]job.Organisation{{ID: "mill", Keys: []job.Key{job.NewKey("k")}}})
	one.takeConfiguration(&cf)
	sp := spec("g1")
	sp.Organisation = "mill"
	if vd, _ := one.Submit(ctx, sp); vd != Accepted {
		t.Fatalf("handed in: %v", vd)
	}
	next := cf
	next.Version++
	next.Organisations = job.NewDirectory(nil)
	one.takeConfiguration(&next)
	older := cf
	one.takeConfiguration(&older)
	if _, err := one.Configuration().CallerOrganisation(&testQueue, "k"); !errors.Is(err, job.ErrNoKey) {
		t.Errorf("a key that was taken away: %v", err)
	}
	st.eventually("the end of a job whose organisation is gone", func() bool {
		state, err := one.State(ctx, "mill", &testQueue, "g1")
		return err == nil && state == job.Completed
	})
	time.Sleep(pollGap)
	st.once("g1")
}
