// Package settings reads and checks the settings file of an entry instance, JSON with comments.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Operator is a named person or script with a token.
type Operator struct {
	Name  string
	Token string
}

// Settings holds every setting of an entry instance.
type Settings struct {
	Entry     Entry
	TLS       TLS
	Platform  Platform
	Peer      Peer
	Operators []Operator
	Caller    Caller
	Endpoint  Endpoint
	Jobs      Jobs
	// Fleet is filled by ParseFleet only.
	Fleet Fleet
	// Cells is filled by ParseCells only.
	Cells Cells
}

// Jobs holds the times of jobs of the product's own interface.
type Jobs struct {
	TaskLease time.Duration
}

// Cells holds the times of cells of jobs and the weights of pool sizes.
type Cells struct {
	// Lease, RenewFor and LookGap are the times of leases and looks at workers.
	Lease    time.Duration
	RenewalWindow time.Duration
	PollInterval  time.Duration
	// Margin, Standby and StandbyLong size pools; IdleFor and Ahead say when machines leave and come.
	Margin      float64
	Standby     float64
	StandbyLong float64
	IdleFor     time.Duration
	GrowthHorizon       time.Duration
}

// Fleet holds the settings that operators change for all entry instances at once, while they run.
type Fleet struct {
	// WeightMoves is the cost of each session moved, WeightBuffer that of each instance that must be spare, WeightTime that of each hour of a roll-out.
	WeightMoves  float64
	WeightBuffer float64
	WeightTime   float64
	// CloseTimes are the times for natural ends that a plan may choose from.
	CloseTimes    []time.Duration
	SessionLength time.Duration
	RebootTime    time.Duration
	LongestPlan   time.Duration
	RetryShare    float64
	EjectAfter    int
	EjectShareMax float64
}

// Entry names the instance and the addresses on which it listens.
type Entry struct {
	ID              string
	Hall            string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	SourceIP        string
}

// TLS names the files of the certificate with which callers, peers and operators are answered; empty answers without TLS.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that other entry instances are checked against.
	AuthorityFile string
}

// Platform tells where the platform is and how long to wait for it.
type Platform struct {
	Addresses    []string
	PollInterval time.Duration
	Timeout      time.Duration
}

// Peer holds what entry instances share among themselves.
type Peer struct {
	Keys         []string
	Timeout      time.Duration
	SyncInterval time.Duration
	Seeds        []string
}

// Caller bounds what callers may ask for.
type Caller struct {
	DefaultTimeout  time.Duration
	MaxRequestDuration  time.Duration
	HeaderBytes     int
	BodyBytes       int
	AnswerBytes     int
	BufferBytes     int
	QueueLength     int
	Connections     int
	HeaderTimeout   time.Duration
	ClaimInterval       time.Duration
	ClaimBatchSize      int
	AnswersKept     int
	AnswerRetention time.Duration
	ClaimRetention  time.Duration
}

// Endpoint steers routing, limits and retries.
type Endpoint struct {
	DialTimeout   time.Duration
	EntriesMax    int
	RetryShare    float64
	RetryBurst    int
	EjectAfter    int
	EjectFor      time.Duration
	EjectForMax   time.Duration
	EjectShareMax float64
	GoneAfter     time.Duration
}

// Finding is one fault of a settings file at its place.
type Finding struct {
	Line    int
	Column  int
	Path    string
	Message string
}

// Findings is every fault of one file.
type Findings []Finding

// String returns the finding as line:column: path: message.
func (fd Finding) String() string {
	if fd.Path == "" {
		return fmt.Sprintf("%d:%d: %s", fd.Line, fd.Column, fd.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", fd.Line, fd.Column, fd.Path, fd.Message)
}

// Error returns all findings, one a line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for ix, fd := range fs {
		lines[ix] = fd.String()
	}
	return strings.Join(lines, "\n")
}

// ParseCells checks the settings of cells and reports all findings together.
func ParseCells(src []byte) (*Cells, error) {
	st, err := parse(src, cellsSchema, cellsSection)
	if err != nil {
		return nil, err
	}
	return &st.Cells, nil
}

// ParseFleet reads fleet settings from JSON with comments; faults are returned as Findings.
func ParseFleet(src []byte) (*Fleet, error) {
	st, err := parse(src, fleetSchema, fleetSection)
	if err != nil {
		return nil, err
	}
	return &st.Fleet, nil
}

// Load reads and checks the file; a faulty one is returned as Findings.
func Load(path string) (*Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(src)
}
