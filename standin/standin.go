// Package standin holds small stand-ins of the platform and of endpoints, with faults that can be switched while they run; tests and the quickstart use them.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	headerTimeout = 10 * time.Second
	maxBodyBytes  = 8 << 20
)

// Serve answers on an address until the context ends; a hook may change the server before it starts.
func Serve(ctx context.Context, address string, hd http.Handler, hooks ...func(*http.Server)) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: hd, ReadHeaderTimeout: headerTimeout}
	for _, hook := range hooks {
		hook(srv)
	}
	stop := context.AfterFunc(ctx, func() {
		// A stand-in has nothing to save, so open connections are cut.
		_ = srv.Close()
	})
	defer stop()
	err = srv.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve")
}

func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// The other side may be gone; there is nobody else to tell.
	_ = json.NewEncoder(wr).Encode(value)
}

func readJSON(wr http.ResponseWriter, rq *http.Request, value any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(wr, rq.Body, maxBodyBytes))
	if err := dec.Decode(value); err != nil {
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// replace returns a handler that stores what it is sent, under the lock.
func replace[T any](mu *sync.Mutex, target *T) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		var value T
		if !readJSON(wr, rq, &value) {
			return
		}
		mu.Lock()
		*target = value
		mu.Unlock()
		wr.WriteHeader(http.StatusNoContent)
	}
}

// abort cuts the caller's connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}
