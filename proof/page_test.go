package proof

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// onRequest are the tests that run only with a flag, which the page must not lean on.
var onRequest = map[string]bool{"TestCapacitySlopes": true}

func TestProofNamesTestsThatExist(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOF.md")
	if err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("../*/*_test.go")
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, file := range files {
		src, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(src)
	}
	names := regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1)
	if len(names) < 40 {
		t.Errorf("the page names only %d tests", len(names))
	}
	for _, name := range names {
		if !strings.Contains(all.String(), "\nfunc "+name[1]+"(t *testing.T)") || onRequest[name[1]] {
			t.Errorf("%s is no test that runs", name[1])
		}
	}
}
