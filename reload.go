package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/aspenseam/aspenseam/event"
	"github.com/aspenseam/aspenseam/settings"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// certificate is the one that listeners answer with, which can be replaced while they run.
type certificate struct {
	current atomic.Pointer[tls.Certificate]
}

// load reads the files and puts the certificate in force.
func (ct *certificate) load(files settings.TLS) error {
	pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	ct.current.Store(&pair)
	return nil
}

// serverTLS returns how listeners answer; nil without TLS.
func (en *entry) serverTLS() *tls.Config {
	if en.st.TLS.CertificateFile == "" {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return en.certificate.current.Load(), nil
	}}
}

// clientTLS returns how other entry instances are called; nil without TLS.
func clientTLS(files settings.TLS) (*tls.Config, error) {
	if files.CertificateFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, eris.Errorf("no certificate in %s", files.AuthorityFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}

// reloadOnHangup replaces keys, tokens and the certificate by those of the settings file at each SIGHUP; a faulty file changes nothing.
func (en *entry) reloadOnHangup(ctx context.Context, path string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if err := en.reload(path); err != nil {
			en.log.Emit(event.ReloadFailed, zap.String("findings", err.Error()))
			continue
		}
		en.log.Emit(event.Reloaded)
	}
}

func (en *entry) reload(path string) error {
	st, err := settings.Load(path)
	if err != nil {
		return err
	}
	if st.TLS.CertificateFile != "" {
		if err := en.certificate.load(st.TLS); err != nil {
			return err
		}
	}
	en.keys.Set(st.Peer.Keys...)
	en.signer.SetKeys(st.Peer.Keys...)
	en.operators.SetOperators(st.Operators)
	return nil
}
