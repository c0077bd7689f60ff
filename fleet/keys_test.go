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
func TestJobAccessIsLimitedToItsOrganisation(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	cl.waitOwner(one, two)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	submit := func(nd *testNode, id job.ID, by job.OrganisationID) SubmitResult {
		sp := testSpec(id)
		sp.Organisation = by
		result, _ := nd.Submit(ctx, sp)
		return result
	}
	if result := submit(one, "m1", "mill"); result != Accepted {
		t.Fatalf("handed in: %v", result)
	}
	if result := submit(one, "n1", ""); result != Accepted {
		t.Fatalf("handed in by nobody: %v", result)
	}
	for i, nd := range []*testNode{one, two} {
		if result := submit(nd, "m1", "mill"); result != Accepted {
			t.Errorf("%d: second try of the same organisation: %v", i, result)
		}
		if result := submit(nd, "m1", "yard"); result != Foreign {
			t.Errorf("%d: second try of another organisation: %v", i, result)
		}
		if _, err := nd.State(ctx, "yard", &testQueue, "m1"); !errors.Is(err, job.ErrOtherOrganisation) {
			t.Errorf("%d: seen by another: %v", i, err)
		}
		if err := nd.Cancel(ctx, "yard", "m1"); !errors.Is(err, job.ErrOtherOrganisation) {
			t.Errorf("%d: cancelled by another: %v", i, err)
		}
		if _, err := nd.State(ctx, "yard", &testQueue, "n1"); err != nil {
			t.Errorf("%d: nobody's job: %v", i, err)
		}
	}
	cl.eventually("the end as its organisation sees it", func() bool {
		state, err := two.State(ctx, "mill", &testQueue, "m1")
		return err == nil && state == job.Completed
	})
	cl.checkRanOnce("m1")
	// Without the owner the store tells whose it is.
	three := cl.start("three")
	cl.eventually("an answer of an instance that knows nothing of the job", func() bool {
		_, err := three.State(ctx, "yard", &testQueue, "m1")
		return errors.Is(err, job.ErrOtherOrganisation)
	})
}

// TestOrganisationThatGoesLosesNoJob: a newer configuration without the organisation, while its job waits for a worker.
func TestRemovedOrganisationKeepsItsJobs(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one := cl.start("one")
	cl.waitOwner(one)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cf := *one.Configuration()
	cf.Version++
	cf.Organisations = job.NewDirectory([]job.Organisation{{ID: "mill", Keys: []job.Key{job.NewKey("k")}}})
	one.applyConfiguration(&cf)
	sp := testSpec("g1")
	sp.Organisation = "mill"
	if result, _ := one.Submit(ctx, sp); result != Accepted {
		t.Fatalf("handed in: %v", result)
	}
	next := cf
	next.Version++
	next.Organisations = job.NewDirectory(nil)
	one.applyConfiguration(&next)
	older := cf
	one.applyConfiguration(&older)
	if _, err := one.Configuration().CallerOrganisation(&testQueue, "k"); !errors.Is(err, job.ErrNoKey) {
		t.Errorf("a key that was taken away: %v", err)
	}
	cl.eventually("the end of a job whose organisation is gone", func() bool {
		state, err := one.State(ctx, "mill", &testQueue, "g1")
		return err == nil && state == job.Completed
	})
	time.Sleep(testPollInterval)
	cl.checkRanOnce("g1")
}
