package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/job"
)

// Parameters of a flood: twenty organisations of equal weight that together use nine tenths of a pool.
const (
	floodOrgCount      = 20
	floodWorkerCount   = 40
	floodJobsPerSecond = 42.0
	floodDuration      = 12 * time.Second
)

// simulateFlood simulates a load in which the first organisation submits a multiple of its share. It returns the fraction of the other
// organisations' jobs that met their objective.
func simulateFlood(factor float64, shares bool) float64 {
	bt := newBurst(floodWorkerCount, 3)
	if shares {
		var list []job.Organisation
		for i := range floodOrgCount {
			list = append(list, job.Organisation{ID: floodOrg(i), Weight: floodJobsPerSecond / floodOrgCount})
		}
		bt.core.SetOrganisations(&job.Configuration{Organisations: job.NewDirectory(list)})
	}
	for i := range floodOrgCount {
		rate := floodJobsPerSecond / floodOrgCount
		if i == 0 {
			rate *= factor
		}
		bt.arriveFor(floodOrg(i), rate, floodDuration)
	}
	bt.run(floodDuration + 10*time.Second)
	inTime, total := 0, 0
	for id, og := range bt.organisations {
		if og == floodOrg(0) {
			continue
		}
		total++
		if bt.metObjective[id] {
			inTime++
		}
	}
	return float64(inTime) / float64(total)
}

// floodOrg returns the id of one of the organisations.
func floodOrg(i int) job.OrganisationID { return job.OrganisationID(fmt.Sprintf("org%02d", i)) }

// TestFloodDoesNotDelayOtherOrganisations checks that a flood by one of twenty organisations, ten times its share, leaves the others at least 0.95 of
// the jobs in time that they have without the flood. Without shares the fraction was 0.865, and with shares ranked after the urgency of a job 0.907.
func TestFloodDoesNotDelayOtherOrganisations(t *testing.T) {
	noFlood, flood, unshared := simulateFlood(1, true), simulateFlood(10, true), simulateFlood(10, false)
	t.Logf("in time: no flood %.3f, flood %.3f, flood without shares %.3f", noFlood, flood, unshared)
	if flood < 0.95*noFlood {
		t.Errorf("%.3f of the jobs are in time with a flood, %.3f without", flood, noFlood)
	}
	if unshared > 0.9*noFlood {
		t.Errorf("the load is not a flood: %.3f of the jobs are in time without shares", unshared)
	}
}
