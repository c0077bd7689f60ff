package job

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// ExampleDirectory_CallerOrganisation identifies callers by their keys.
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

// TestMovedKeyAndRemovedOrganisation checks that a key which moves to another organisation identifies that one under the new configuration, and
// that a removed organisation no longer admits callers.
func TestMovedKeyAndRemovedOrganisation(t *testing.T) {
	before := NewDirectory([]Organisation{{ID: "mill", Keys: []Key{NewKey("k")}}, {ID: "yard"}})
	after := NewDirectory([]Organisation{{ID: "yard", Keys: []Key{NewKey("k")}}})
	if id, _ := before.CallerOrganisation(&Queue{}, "k"); id != "mill" {
		t.Errorf("before the move: %q", id)
	}
	if id, _ := after.CallerOrganisation(&Queue{}, "k"); id != "yard" || MayAccess(id, "mill") {
		t.Errorf("after the move: %q, may access a job of the previous holder of the key: %v", id, MayAccess(id, "mill"))
	}
	if after.Find("mill") != nil || after.Find("yard") == nil {
		t.Error("Find does not match the organisations of the new configuration")
	}
	var empty *Directory
	if _, err := empty.CallerOrganisation(&Queue{}, "k"); !errors.Is(err, ErrNoKey) || empty.List() != nil || empty.Find("x") != nil {
		t.Errorf("nil directory: %v", err)
	}
}

// TestKeysPrintOnlyTheirFingerprint checks that formatted keys contain only the fingerprint.
func TestKeysPrintOnlyTheirFingerprint(t *testing.T) {
	ky := NewKey("pqk8bdk9eevyxq2yyaza")
	for _, text := range []string{fmt.Sprint(ky), fmt.Sprintf("%v %s", Organisation{Keys: []Key{ky}}, ky)} {
		if strings.Contains(text, "pqk8") || len(text) > 80 {
			t.Errorf("more than the fingerprint is printed: %s", text)
		}
	}
	if len(ky.Fingerprint()) != 2*fingerprintBytes || ky.Fingerprint() == NewKey("other").Fingerprint() {
		t.Errorf("fingerprint %q", ky.Fingerprint())
	}
}
