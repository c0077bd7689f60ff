package table

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/rotisserie/eris"
)

const (
	defaultTimeout     = time.Second
	defaultConnections = 8
)

// Client calls the platform over HTTP; it never repeats a call by itself.
type Client struct {
	opts  Options
	rc    *resty.Client
	next  atomic.Uint64
	reads atomic.Int64
	// members is the last membership read.
	members atomic.Pointer[membership]
	write   atomic.Int64
}

// Options holds what a client can be built with.
type Options struct {
	Addresses []string
	Timeout   time.Duration
	Dial      DialFunc
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Option changes one of the options.
type Option func(*Options)

// WithAddresses names the platform's front ends.
func WithAddresses(addresses ...string) Option {
	return func(op *Options) { op.Addresses = addresses }
}

// WithTimeout bounds the wait for one answer.
func WithTimeout(timeout time.Duration) Option {
	return func(op *Options) { op.Timeout = timeout }
}

// WithDial replaces the dialer.
func WithDial(dial DialFunc) Option {
	return func(op *Options) { op.Dial = dial }
}

// NewClient returns a client of the platform.
func NewClient(options ...Option) *Client {
	opts := Options{Timeout: defaultTimeout}
	for _, option := range options {
		option(&opts)
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: opts.Timeout}).DialContext
	}
	transport := &http.Transport{DialContext: opts.Dial, MaxIdleConnsPerHost: defaultConnections, MaxConnsPerHost: defaultConnections, IdleConnTimeout: time.Minute}
	rc := resty.New().SetTransport(transport).SetTimeout(opts.Timeout).SetRetryCount(0)
	return &Client{opts: opts, rc: rc}
}

// Reads returns how many reads were sent.
func (cl *Client) Reads() int64 { return cl.reads.Load() }

// Writes returns how many writes were sent.
func (cl *Client) Writes() int64 { return cl.write.Load() }

func (cl *Client) url(path string) string {
	index := cl.next.Add(1) % uint64(len(cl.opts.Addresses))
	return "http://" + cl.opts.Addresses[index] + path
}

// Get returns one row.
func (cl *Client) Get(ctx context.Context, table TableName, key string) (Row, error) {
	cl.reads.Add(1)
	var rw Row
	rp, err := cl.rc.R().SetContext(ctx).SetResult(&rw).SetPathParams(map[string]string{"table": string(table), "key": key}).Get(cl.url("/v1/table/{table}/{key}"))
	if err != nil {
		return Row{}, eris.Wrapf(ErrLost, "get %s/%s: %v", table, key, err)
	}
	switch rp.StatusCode() {
	case http.StatusOK:
		return rw, nil
	case http.StatusNotFound:
		return Row{}, ErrAbsent
	}
	return Row{}, eris.Wrapf(ErrLost, "get %s/%s: status %d", table, key, rp.StatusCode())
}

// Changes returns the rows of the tables that were written after a version.
func (cl *Client) Changes(ctx context.Context, since Version, tables []TableName) (Changes, error) {
	return cl.ChangesPage(ctx, since, tables, 0)
}

// ChangesPage returns the first rows, at most limit, that were written after a version; 0 returns all.
// Deleted rows are left out of a page.
func (cl *Client) ChangesPage(ctx context.Context, since Version, tables []TableName, limit int) (Changes, error) {
	cl.reads.Add(1)
	names := make([]string, len(tables))
	for ix, name := range tables {
		names[ix] = string(name)
	}
	var cs Changes
	rq := cl.rc.R().SetContext(ctx).SetResult(&cs)
	rq.SetQueryParam("since", strconv.FormatUint(uint64(since), 10)).SetQueryParam("tables", strings.Join(names, ","))
	if limit > 0 {
		rq.SetQueryParam("limit", strconv.Itoa(limit))
	}
	return cs, cl.read(rq, "/v1/changes")
}

// membership is the last answer to Members, with the tag by which the platform says that it still holds.
type membership struct {
	tag     string
	members []Member
}

// Members returns the platform's membership; while it has not changed the platform sends no list.
func (cl *Client) Members(ctx context.Context) ([]Member, error) {
	cl.reads.Add(1)
	last := cl.members.Load()
	var ms []Member
	rq := cl.rc.R().SetContext(ctx).SetResult(&ms)
	if last != nil && last.tag != "" {
		rq.SetHeader("If-None-Match", last.tag)
	}
	rp, err := rq.Get(cl.url("/v1/members"))
	if err != nil {
		return nil, eris.Wrapf(ErrLost, "members: %v", err)
	}
	switch rp.StatusCode() {
	case http.StatusOK:
		cl.members.Store(&membership{tag: rp.Header().Get("Etag"), members: ms})
		return ms, nil
	case http.StatusNotModified:
		return last.members, nil
	}
	return nil, eris.Wrapf(ErrLost, "members: status %d", rp.StatusCode())
}

// Usage returns what the platform last heard of some workers, of all if none is named.
func (cl *Client) Usage(ctx context.Context, ids ...InstanceID) ([]Usage, error) {
	cl.reads.Add(1)
	var us []Usage
	rq := cl.rc.R().SetContext(ctx).SetResult(&us)
	if len(ids) > 0 {
		names := make([]string, len(ids))
		for ix, id := range ids {
			names[ix] = string(id)
		}
		rq.SetQueryParam("instances", strings.Join(names, ","))
	}
	return us, cl.read(rq, "/v1/usage")
}

// Act asks the platform to do something to an instance; the same step id is carried out once.
func (cl *Client) Act(ctx context.Context, id InstanceID, ac Action, step string) error {
	cl.write.Add(1)
	rp, err := cl.rc.R().SetContext(ctx).SetPathParams(map[string]string{"id": string(id), "action": string(ac)}).SetQueryParam("step", step).Post(cl.url("/v1/instance/{id}/{action}"))
	if err != nil {
		return eris.Wrapf(ErrLost, "%s %s: %v", ac, id, err)
	}
	if rp.IsError() {
		return eris.Wrapf(ErrLost, "%s %s: status %d", ac, id, rp.StatusCode())
	}
	return nil
}

func (cl *Client) read(rq *resty.Request, path string) error {
	rp, err := rq.Get(cl.url(path))
	if err != nil {
		return eris.Wrapf(ErrLost, "read %s: %v", path, err)
	}
	if rp.StatusCode() != http.StatusOK {
		return eris.Wrapf(ErrLost, "read %s: status %d", path, rp.StatusCode())
	}
	return nil
}

// Commit applies a transaction and returns its version; errors are a ConflictError, ErrNotApplied or ErrLost.
func (cl *Client) Commit(ctx context.Context, tx Tx) (Version, error) {
	cl.write.Add(1)
	rp, err := cl.rc.R().SetContext(ctx).SetBody(tx).Post(cl.url("/v1/tx"))
	if err != nil {
		return 0, commitError(err)
	}
	switch rp.StatusCode() {
	case http.StatusOK:
		var result Changes
		if err := json.Unmarshal(rp.Body(), &result); err != nil {
			return 0, eris.Wrapf(ErrLost, "commit: %v", err)
		}
		return result.Version, nil
	case http.StatusConflict:
		var result Changes
		if err := json.Unmarshal(rp.Body(), &result); err != nil {
			return 0, eris.Wrapf(ErrLost, "commit: %v", err)
		}
		return 0, &ConflictError{Rows: result.Rows}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return 0, eris.Wrapf(ErrNotApplied, "commit: %s", rp.String())
	}
	return 0, eris.Wrapf(ErrLost, "commit: status %d", rp.StatusCode())
}

// commitError tells a call that never left from one whose answer is lost.
func commitError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrapf(ErrNotApplied, "commit: %v", err)
	}
	return eris.Wrapf(ErrLost, "commit: %v", err)
}

// PutObject stores a value in the object store.
func (cl *Client) PutObject(ctx context.Context, key string, value []byte) error {
	cl.write.Add(1)
	rp, err := cl.rc.R().SetContext(ctx).SetBody(value).SetPathParam("key", key).Put(cl.url("/v1/object/{key}"))
	if err != nil {
		return eris.Wrapf(ErrLost, "put object: %v", err)
	}
	if rp.IsError() {
		return eris.Wrapf(ErrLost, "put object: status %d", rp.StatusCode())
	}
	return nil
}

// DeleteObject removes a value from the object store; one that is absent is no error.
func (cl *Client) DeleteObject(ctx context.Context, key string) error {
	cl.write.Add(1)
	rp, err := cl.rc.R().SetContext(ctx).SetPathParam("key", key).Delete(cl.url("/v1/object/{key}"))
	if err != nil {
		return eris.Wrapf(ErrLost, "delete object: %v", err)
	}
	if rp.IsError() && rp.StatusCode() != http.StatusNotFound {
		return eris.Wrapf(ErrLost, "delete object: status %d", rp.StatusCode())
	}
	return nil
}

// GetObject returns a value of the object store.
func (cl *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	cl.reads.Add(1)
	rp, err := cl.rc.R().SetContext(ctx).SetPathParam("key", key).Get(cl.url("/v1/object/{key}"))
	if err != nil {
		return nil, eris.Wrapf(ErrLost, "get object: %v", err)
	}
	switch rp.StatusCode() {
	case http.StatusOK:
		return rp.Body(), nil
	case http.StatusNotFound:
		return nil, ErrAbsent
	}
	return nil, eris.Wrapf(ErrLost, "get object: status %d", rp.StatusCode())
}
