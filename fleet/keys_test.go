package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// TestJobAccessIsLimitedToItsOrganisation checks that only callers of a job's organisation can read, resubmit or cancel it, at
// either instance and whether the owner or the store answers. A job without an organisation is open to all callers.
func TestJobAccessIsLimitedToItsOrganisation(t *testing.T) {
	cl := newCluster(t, 30*time.Millisecond)
	one, two := cl.start("one"), cl.start("two")
	cl.waitOwner(one, two)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	submit := func(nd *testNode, id job.ID, organisation job.OrganisationID) SubmitResult {
		sp := testSpec(id)
		sp.Organisation = organisation
		result, _ := nd.Submit(ctx, sp)
		return result
	}
	if result := submit(one, "m1", "mill"); result != Accepted {
		t.Fatalf("submit: %v", result)
	}
	if result := submit(one, "n1", ""); result != Accepted {
		t.Fatalf("submit without an organisation: %v", result)
	}
	for i, nd := range []*testNode{one, two} {
		if result := submit(nd, "m1", "mill"); result != Accepted {
			t.Errorf("%d: second submit by the same organisation: %v", i, result)
		}
		if result := submit(nd, "m1", "yard"); result != OtherOrganisation {
			t.Errorf("%d: second submit by another organisation: %v", i, result)
		}
		if _, err := nd.State(ctx, "yard", &testQueue, "m1"); !errors.Is(err, job.ErrOtherOrganisation) {
			t.Errorf("%d: state read by another organisation: %v", i, err)
		}
		if err := nd.Cancel(ctx, "yard", "m1"); !errors.Is(err, job.ErrOtherOrganisation) {
			t.Errorf("%d: cancelled by another organisation: %v", i, err)
		}
		if _, err := nd.State(ctx, "yard", &testQueue, "n1"); err != nil {
			t.Errorf("%d: state of a job without an organisation: %v", i, err)
		}
	}
	cl.eventually("completion as its organisation sees it", func() bool {
		state, err := two.State(ctx, "mill", &testQueue, "m1")
		return err == nil && state == job.Completed
	})
	cl.checkRanOnce("m1")
	// Without the job in memory, its organisation is read from the store.
	three := cl.start("three")
	cl.eventually("an answer from an instance that has not seen the job", func() bool {
		_, err := three.State(ctx, "yard", &testQueue, "m1")
		return errors.Is(err, job.ErrOtherOrganisation)
	})
}

// TestRemovedOrganisationKeepsItsJobs removes an organisation from the configuration while its job waits for a worker. The job
// must still complete, and an older configuration must not replace the newer one.
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
		t.Fatalf("submit: %v", result)
	}
	next := cf
	next.Version++
	next.Organisations = job.NewDirectory(nil)
	one.applyConfiguration(&next)
	older := cf
	one.applyConfiguration(&older)
	if _, err := one.Configuration().CallerOrganisation(&testQueue, "k"); !errors.Is(err, job.ErrNoKey) {
		t.Errorf("a key that was removed: %v", err)
	}
	cl.eventually("completion of a job whose organisation was removed", func() bool {
		state, err := one.State(ctx, "mill", &testQueue, "g1")
		return err == nil && state == job.Completed
	})
	time.Sleep(testPollInterval)
	cl.checkRanOnce("g1")
}
