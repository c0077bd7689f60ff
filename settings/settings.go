// Package settings parses and checks the settings file of an entry instance, which is JSON with comments.
package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/job"
	"github.com/rotisserie/eris"
)

// Operator is a person or script that authenticates with a token.
type Operator struct {
	Name  string
	Token string
}

// Settings holds all settings of an entry instance.
type Settings struct {
	Entry     Entry
	TLS       TLS
	Platform  Platform
	Peer      Peer
	Operators []Operator
	Caller    Caller
	Endpoint  Endpoint
	Jobs      Jobs
	// Fleet is set only by ParseFleet.
	Fleet Fleet
	// Cells is set only by ParseCells.
	Cells Cells
}

// Jobs holds the settings of jobs that are submitted through the product's own interface.
type Jobs struct {
	TaskLease time.Duration
}

// Cells holds the settings of job cells and of pool sizing.
type Cells struct {
	// Lease and RenewalWindow control task leases, PollInterval the polling of workers.
	Lease         time.Duration
	RenewalWindow time.Duration
	PollInterval  time.Duration
	// Margin, Standby and StandbyLong control the size of pools. IdleFor and Lookahead control when machines are removed and added.
	Margin      float64
	Standby     float64
	StandbyLong float64
	IdleFor     time.Duration
	Lookahead   time.Duration
	// Admission, Forecast, PackLateJobs and LullMaintenance say for which configurations the optional functions are used.
	Admission       job.Condition
	Forecast        job.Condition
	PackLateJobs    job.Condition
	LullMaintenance job.Condition
}

// Fleet holds the settings that operators change at run time for all entry instances.
type Fleet struct {
	// WeightMoves is the cost per moved session, WeightBuffer per spare instance, WeightTime per hour of a roll-out.
	WeightMoves  float64
	WeightBuffer float64
	WeightTime   float64
	// CloseTimes are the times that a plan may wait for sessions to end before they are moved.
	CloseTimes    []time.Duration
	SessionLength time.Duration
	RebootTime    time.Duration
	LongestPlan   time.Duration
	RetryShare    float64
	EjectAfter    int
	EjectShareMax float64
}

// Entry holds the identity of the instance and its listen addresses.
type Entry struct {
	ID              string
	Hall            string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	SourceIP        string
}

// TLS holds the certificate files of the listeners for callers, peers and operators. If they are empty, TLS is disabled.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the CA certificates that verify other entry instances.
	AuthorityFile string
}

// Platform holds the addresses of the platform, its poll interval and its timeout.
type Platform struct {
	Addresses    []string
	PollInterval time.Duration
	Timeout      time.Duration
}

// Peer holds the settings of calls between entry instances.
type Peer struct {
	Keys         []string
	Timeout      time.Duration
	SyncInterval time.Duration
	Seeds        []string
}

// Caller holds the limits and timeouts of caller requests.
type Caller struct {
	DefaultTimeout     time.Duration
	MaxRequestDuration time.Duration
	HeaderBytes        int
	BodyBytes          int
	AnswerBytes        int
	BufferBytes        int
	QueueLength        int
	Connections        int
	HeaderTimeout      time.Duration
	ClaimInterval      time.Duration
	ClaimBatchSize     int
	AnswersKept        int
	AnswerRetention    time.Duration
	ClaimRetention     time.Duration
}

// Endpoint holds the settings of routing, ejection and retries.
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

// Finding is an error at a position of a settings file.
type Finding struct {
	Line    int
	Column  int
	Path    string
	Message string
}

// Findings holds all errors of one file.
type Findings []Finding

// String formats the finding as line:column: path: message.
func (fd Finding) String() string {
	if fd.Path == "" {
		return fmt.Sprintf("%d:%d: %s", fd.Line, fd.Column, fd.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", fd.Line, fd.Column, fd.Path, fd.Message)
}

// Error formats the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for ix, fd := range fs {
		lines[ix] = fd.String()
	}
	return strings.Join(lines, "\n")
}

// ParseCells decodes cell settings from JSON with comments. Invalid settings are returned as Findings.
func ParseCells(src []byte) (*Cells, error) {
	st, err := parse(src, cellsSchema, cellsSection)
	if err != nil {
		return nil, err
	}
	return &st.Cells, nil
}

// ParseFleet decodes fleet settings from JSON with comments. Invalid settings are returned as Findings.
func ParseFleet(src []byte) (*Fleet, error) {
	st, err := parse(src, fleetSchema, fleetSection)
	if err != nil {
		return nil, err
	}
	return &st.Fleet, nil
}

// Load reads and parses a settings file. Invalid settings are returned as Findings.
func Load(path string) (*Settings, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(src)
}
