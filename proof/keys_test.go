package proof

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/aspenseam/aspenseam/caller"
	"github.com/aspenseam/aspenseam/operator"
)

// rewrite changes an entry instance's settings file and sends SIGHUP.
func (fl *fleet) rewrite(en *entryProcess, change func(st map[string]any)) {
	fl.t.Helper()
	raw, err := os.ReadFile(en.file)
	if err != nil {
		fl.t.Fatal(err)
	}
	var st map[string]any
	if err := json.Unmarshal(raw, &st); err != nil {
		fl.t.Fatal(err)
	}
	change(st)
	fl.write(filepath.Base(en.file), st)
	lines := len(strings.Split(en.readLog(), "\n"))
	en.signal(syscall.SIGHUP)
	eventually(fl.t, en.id+" read its settings again", func() bool {
		log := strings.Split(en.readLog(), "\n")
		return strings.Contains(strings.Join(log[min(lines, len(log)):], "\n"), `"event":10`)
	})
}

func setKeys(keys ...string) func(map[string]any) {
	return func(st map[string]any) { st["peer"].(map[string]any)["keys"] = keys }
}

func TestKeysAndTokensAreReplacedWithoutARestart(t *testing.T) {
	fl := newFleet(t, shape{halls: 1, entries: 2, endpoints: 2})
	const newKey, newToken = "the-new-key-of-the-fleet", "the-new-token-of-alice"
	oldSession, ep := fl.openSession(fl.entries[0])
	// First all accept both, then the new one signs, then the old one is dropped.
	for _, keys := range [][]string{{peerKey, newKey}, {newKey, peerKey}, {newKey}} {
		for _, en := range fl.entries {
			fl.rewrite(en, setKeys(keys...))
			wantOutcome(t, send(en.callers, inSession(caller.SessionNew)), "answered")
		}
		if len(keys) == 2 {
			rp := send(fl.entries[1].callers, inSession(oldSession))
			wantOutcome(t, rp, "answered")
			if at := rp.execution(t).Instance; at != ep.id {
				t.Errorf("session went to %s", at)
			}
		}
	}
	if rp := send(fl.entries[1].callers, inSession(oldSession)); rp.status != http.StatusBadRequest {
		t.Errorf("a token under a dropped key: %d", rp.status)
	}
	rp := send(fl.entries[0].peers, ask{method: http.MethodPost, path: "/twirp/aspenseam.peer.Peer/Sync", body: "{}", headers: map[string]string{"Content-Type": "application/json", "Aspenseam-Peer-Key": peerKey}})
	if rp.status != http.StatusUnauthorized {
		t.Errorf("a peer with the dropped key: %d", rp.status)
	}
	// A faulty file replaces nothing.
	fl.rewrite(fl.entries[0], setKeys("short"))
	wantOutcome(t, send(fl.entries[0].callers, inSession(caller.SessionNew)), "answered")
	fl.rewrite(fl.entries[0], func(st map[string]any) {
		setKeys(newKey)(st)
		st["operators"] = []map[string]string{{"name": "alice", "token": newToken}}
	})
	if _, err := fl.entries[0].desk().Status(context.Background()); err == nil {
		t.Error("the old token still works")
	}
	if _, err := operator.NewClient(fl.entries[0].operator, newToken).Status(context.Background()); err != nil {
		t.Errorf("the new token: %v", err)
	}
	for _, en := range fl.entries {
		for _, secret := range []string{newKey, newToken, peerKey, token} {
			if strings.Contains(en.readLog(), secret) {
				t.Errorf("a secret stands in the log of %s", en.id)
			}
		}
	}
}

// makeCertificate writes a certificate of its own authority for the loopback address.
func makeCertificate(t *testing.T, dir, name string) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, IsCA: true, BasicConstraintsValid: true}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	certificate, key = filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key")
	for path, block := range map[string]*pem.Block{certificate: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "EC PRIVATE KEY", Bytes: rawKey}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certificate, key
}

func TestTLSOnAllListenersAndItsCertificateReplaced(t *testing.T) {
	dir := t.TempDir()
	first, firstKey := makeCertificate(t, dir, "first")
	second, secondKey := makeCertificate(t, dir, "second")
	fl := &fleet{t: t, dir: dir, sp: shape{settings: map[string]map[string]any{"tls": {"certificateFile": first, "keyFile": firstKey, "authorityFile": first}}}, relays: map[string]*relay{}}
	fl.store = freeAddress(t, "127.0.0.1")
	fl.planEndpoint("hall1")
	one, two := fl.planEntry("hall1"), fl.planEntry("hall1")
	fl.actions = newActions(fl)
	fl.startPlatform()
	fl.startEndpoint(fl.endpoints[0])
	fl.startEntry(one)
	fl.startEntry(two)
	trusting := func(authority string) *http.Client {
		raw, err := os.ReadFile(authority)
		if err != nil {
			t.Fatal(err)
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(raw)
		return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool}}}
	}
	ready := func(client *http.Client, en *entryProcess) bool {
		rp, err := client.Get("https://" + en.callers + "/.aspenseam/ready")
		if err != nil {
			return false
		}
		_ = rp.Body.Close()
		return rp.StatusCode == http.StatusNoContent
	}
	for _, en := range []*entryProcess{one, two} {
		eventually(t, en.id+" ready over TLS", func() bool { return ready(trusting(first), en) })
	}
	if ready(trusting(second), one) {
		t.Error("answered under a certificate that is not its own")
	}
	if rp, err := http.Get("http://" + one.callers + "/.aspenseam/ready"); err == nil && rp.StatusCode == http.StatusNoContent {
		t.Error("answered without TLS")
	}
	// A configuration goes from one to the other over TLS, the other being cut off from the platform.
	two.store.set("", true)
	desk := operator.NewTLSClient(one.operator, token, first)
	vw, err := desk.AcceptConfiguration(context.Background(), `{"ejectAfter": 9}`, 0)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "in force at both", func() bool {
		now, err := desk.Configuration(context.Background())
		return err == nil && len(now.ActiveVersions) == 2 && now.ActiveVersions[0].Version == vw.Version && now.ActiveVersions[1].Version == vw.Version
	})
	fl.rewrite(one, func(st map[string]any) {
		st["tls"] = map[string]any{"certificateFile": second, "keyFile": secondKey, "authorityFile": first}
	})
	eventually(t, "the second certificate", func() bool { return ready(trusting(second), one) })
}
