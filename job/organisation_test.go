package job

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// ExampleDirectory_CallerOrganisation shows whose call it is that comes with a key.
func ExampleDirectory_CallerOrganisation() {
	dy := NewDirectory([]Organisation{{ID: "mill", Keys: []Key{NewKey("k1"), NewKey("k2")}}, {ID: "yard", Keys: []Key{NewKey("k3")}}})
	id, err := dy.CallerOrganisation(&Queue{}, "k2")
	fmt.Println(id, err)
	_, err = dy.CallerOrganisation(&Queue{}, "k4")
	fmt.Println(err)
	id, err = dy.CallerOrganisation(&Queue{Public: true}, "")
	fmt.Printf("%q %v\n", id, err)
	// Output:
	// mill <nil>
	// the call has no key of an organisation
	// "" <nil>
}

// TestMovedKeyAndRemovedOrganisation: a key is its new holder's from the version on that moves it; an organisation that is gone lets nobody in.
func TestMovedKeyAndRemovedOrganisation(t *testing.T) {
	before := NewDirectory([]Organisation{{ID: "mill", Keys: []Key{NewKey("k")}}, {ID: "yard"}})
	after := NewDirectory([]Organisation{{ID: "yard", Keys: []Key{NewKey("k")}}})
	if id, _ := before.CallerOrganisation(&Queue{}, "k"); id != "mill" {
		t.Errorf("before: %q", id)
	}
	if id, _ := after.CallerOrganisation(&Queue{}, "k"); id != "yard" || MayAccess(id, "mill") {
		t.Errorf("after: %q, which may use the job of the former holder: %v", id, MayAccess(id, "mill"))
	}
	if after.Find("mill") != nil || after.Find("yard") == nil {
		t.Error("organisations of the newer version")
	}
	var none *Directory
	if _, err := none.CallerOrganisation(&Queue{}, "k"); !errors.Is(err, ErrNoKey) || none.List() != nil || none.Find("x") != nil {
		t.Errorf("no directory: %v", err)
	}
}

// TestKeysPrintOnlyTheirFingerprint: whatever prints a key prints no more.
func TestKeysPrintOnlyTheirFingerprint(t *testing.T) {
	ky := NewKey("pqk8bdk9eevyxq2yyaza")
	for _, text := range []string{fmt.Sprint(ky), fmt.Sprintf("%v %s", Organisation{Keys: []Key{ky}}, ky)} {
		if strings.Contains(text, "pqk8") || len(text) > 80 {
			t.Errorf("shown: %s", text)
		}
	}
	if len(ky.Fingerprint()) != 2*fingerprintBytes || ky.Fingerprint() == NewKey("other").Fingerprint() {
		t.Errorf("fingerprint %q", ky.Fingerprint())
	}
}
