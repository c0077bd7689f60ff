package tcp

import (
	"net"
	"net/http"
)

// Meter counts the bytes that calls transfer, by the kind of call. It is called on every read and write of a connection, so it must be fast.
type Meter interface {
	Transferred(kind string, out, in int)
}

// WithMeter counts all bytes on a meter. callKind returns the kind of a call.
func WithMeter(mt Meter, callKind func(*http.Request) string) Option {
	return func(op *options) { op.meter, op.callKind = mt, callKind }
}

// Listen listens on an address. The bytes of its connections are counted on the meter under the given kind.
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

// Write implements net.Conn.
func (mc meteredConn) Write(data []byte) (int, error) {
	count, err := mc.Conn.Write(data)
	mc.ml.meter.Transferred(mc.ml.kind, count, 0)
	return count, err
}

// Read implements net.Conn.
func (mc meteredConn) Read(buf []byte) (int, error) {
	count, err := mc.Conn.Read(buf)
	mc.ml.meter.Transferred(mc.ml.kind, 0, count)
	return count, err
}

// countBytes counts transferred bytes on the meter under the kind of the current call.
func (cn *conn) countBytes(out, in int) {
	if mt := cn.tr.opts.meter; mt != nil {
		if kind := cn.kind.Load(); kind != nil {
			mt.Transferred(*kind, out, in)
		}
	}
}
