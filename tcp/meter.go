package tcp

import (
	"net"
	"net/http"
)

// Meter is told how many bytes calls moved, by the kind of call. It is called while a connection is written or read, so it must be quick.
type Meter interface {
	Transferred(kind string, out, in int)
}

// WithMeter has a meter told of all bytes; kind names a call.
func WithMeter(mt Meter, callKind func(*http.Request) string) Option {
	return func(op *options) { op.meter, op.callKind = mt, callKind }
}

// Listen opens an address for connections whose bytes a meter is told of, all as of one kind.
func Listen(address string, mt Meter, kind string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return meteredListener{ln, mt, kind}, nil
}

type meteredListener struct {
	net.Listener
	meter Meter
	kind  string
}

// Accept waits for the next connection.
func (ml meteredListener) Accept() (net.Conn, error) {
	inner, err := ml.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return meteredConn{inner, ml}, nil
}

type meteredConn struct {
	net.Conn
	ml meteredListener
}

// Write sends bytes.
func (mc meteredConn) Write(raw []byte) (int, error) {
	count, err := mc.Conn.Write(raw)
	mc.ml.meter.Transferred(mc.ml.kind, count, 0)
	return count, err
}

// Read takes bytes.
func (mc meteredConn) Read(into []byte) (int, error) {
	count, err := mc.Conn.Read(into)
	mc.ml.meter.Transferred(mc.ml.kind, 0, count)
	return count, err
}

// moved tells the meter of bytes of the connection's newest call.
func (cn *conn) countBytes(out, in int) {
	if mt := cn.tr.opts.meter; mt != nil {
		if kind := cn.kind.Load(); kind != nil {
			mt.Transferred(*kind, out, in)
		}
	}
}
