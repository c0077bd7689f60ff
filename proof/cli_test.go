package proof

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/aspenseam/aspenseam/operator"
)

// run runs an operator's command against an entry instance and returns its output and exit code.
func (en *entryProcess) run(t *testing.T, tok string, args ...string) (stdout, stderr string, code int) {
	t.Helper()
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "ASPENSEAM_ADDRESS="+en.operator, "ASPENSEAM_TOKEN="+tok)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}

func TestOperatorsCommandLine(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 6, workMs: 5})
	en := fl.entries[0]
	file := fl.write("fleet.json", map[string]any{"closeTimes": []string{"0s"}, "rebootTime": "1s"})
	if out, errOut, code := en.run(t, token, "settings", "set", file); code != 0 || !strings.Contains(out, "alice") {
		t.Fatalf("settings set: %d %s %s", code, out, errOut)
	}
	out, errOut, code := en.run(t, token, "plan", "reboot", "--rack", "r0", "--why", "kernel", "--json")
	if code != 0 {
		t.Fatalf("plan: %d %s", code, errOut)
	}
	var vw operator.PlanView
	if err := json.Unmarshal([]byte(out), &vw); err != nil {
		t.Fatal(err)
	}
	if vw.Total != 4 || vw.Author != "alice" || vw.Status != operator.PlanProposed || len(vw.BudgetImpacts) != 1 {
		t.Fatalf("plan: %s", out)
	}
	if out, _, code := en.run(t, token, "plans", string(vw.ID)); code != 0 || !strings.Contains(out, "aspenseam confirm "+string(vw.ID)) || !strings.Contains(out, "2 of 6 may be out") {
		t.Errorf("plans: %d %s", code, out)
	}
	if _, errOut, code := en.run(t, token+"x", "confirm", string(vw.ID)); code != 5 {
		t.Errorf("wrong token: %d %s", code, errOut)
	}
	fl.entries[1].runAtMostOnce(t, token, "confirm", string(vw.ID))
	fl.awaitPlan(vw.ID, operator.PlanDone)
	if out, _, code := en.run(t, token, "audit"); code != 0 || !strings.Contains(out, "confirm") || !strings.Contains(out, "kernel") {
		t.Errorf("audit: %d %s", code, out)
	}
	if out, _, code := en.run(t, token, "status"); code != 0 || strings.Count(out, "serving") != 6 {
		t.Errorf("status: %d %s", code, out)
	}
	if _, errOut, code := en.run(t, token, "plan", "drain", "--hall", "hall1", "--why", "all"); code != 4 || !strings.Contains(errOut, "would keep 0 usable instances and needs 4") {
		t.Errorf("impossible: %d %s", code, errOut)
	}
	if _, errOut, code := en.run(t, token, "check", file); code != 3 || !strings.Contains(errOut, "closeTimes: unknown setting") {
		t.Errorf("check: %d %s", code, errOut)
	}
}

// callAgain is what a command says whose effect is not known since the platform did not answer in time.
const callAgain = "call again: it takes effect at most once"

// runAtMostOnce runs a command, and runs it again as long as it says that it is not known whether it took effect.
func (en *entryProcess) runAtMostOnce(t *testing.T, token string, words ...string) {
	t.Helper()
	eventually(t, strings.Join(words, " "), func() bool {
		_, errOut, code := en.run(t, token, words...)
		if code != 0 && !strings.Contains(errOut, callAgain) {
			t.Fatalf("%s: %d %s", words[0], code, errOut)
		}
		return code == 0
	})
}
