package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/aspenseam/aspenseam/job"
	"github.com/tailscale/hujson"
)

const (
	minSecretLength = 16 // characters
	unitAddress     = "address"
	unitKey         = "key"
)

// parser decodes one document and collects its findings.
type parser struct {
	src      []byte
	st       *Settings
	byPath   map[string]field
	schema   []field
	sections map[string]bool
	// offsets holds the byte offsets of the settings in the file, by path.
	offsets  map[string]int
	findings Findings
}

// Parse decodes settings from JSON with comments. Invalid settings are returned as Findings.
func Parse(src []byte) (*Settings, error) {
	return parse(src, schema, "")
}

// parse decodes a document. A non-empty section is the prefix that the paths of the schema have and the document does not.
func parse(src []byte, fields []field, section string) (*Settings, error) {
	ps := newParser(src, fields)
	root, err := hujson.Parse(src)
	if err != nil {
		ps.addSyntaxError(err)
		return nil, ps.findings
	}
	ps.parseObject(section, root)
	ps.finish()
	if len(ps.findings) > 0 {
		sort.SliceStable(ps.findings, func(ix, jx int) bool { return ps.findings[ix].precedes(ps.findings[jx]) })
		return nil, ps.findings
	}
	return ps.st, nil
}

// precedes orders findings by line and column.
func (fd Finding) precedes(other Finding) bool {
	if fd.Line != other.Line {
		return fd.Line < other.Line
	}
	return fd.Column < other.Column
}

func newParser(src []byte, fields []field) *parser {
	ps := &parser{src: src, schema: fields, st: &Settings{}, byPath: map[string]field{}, sections: map[string]bool{"": true}, offsets: map[string]int{}}
	for _, fl := range fields {
		ps.byPath[fl.path] = fl
		if section, _, ok := strings.Cut(fl.path, "."); ok {
			ps.sections[section] = true
		}
	}
	return ps
}

// addFinding records a finding at a byte offset of the file.
func (ps *parser) addFinding(offset int, path, format string, args ...any) {
	offset = min(offset, len(ps.src))
	before := ps.src[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - bytes.LastIndexByte(before, '\n')
	ps.findings = append(ps.findings, Finding{Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...)})
}

// addSyntaxError records a syntax error at the line and column given in its text.
func (ps *parser) addSyntaxError(err error) {
	line, column := 1, 1
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &column); scanErr == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	ps.findings = append(ps.findings, Finding{Line: line, Column: column, Message: text})
}

// parseObject parses an object. Each member is a section or a setting.
func (ps *parser) parseObject(path string, vl hujson.Value) {
	ob, ok := vl.Value.(*hujson.Object)
	if !ok {
		ps.addFinding(vl.StartOffset, path, "must be an object")
		return
	}
	for ix := range ob.Members {
		ps.parseMember(path, &ob.Members[ix])
	}
}

func (ps *parser) parseMember(section string, mb *hujson.ObjectMember) {
	lit, _ := mb.Name.Value.(hujson.Literal)
	path := lit.String()
	if section != "" {
		path = section + "." + path
	}
	if _, duplicate := ps.offsets[path]; duplicate {
		ps.addFinding(mb.Name.StartOffset, path, "stands twice")
		return
	}
	ps.offsets[path] = mb.Name.StartOffset
	if fl, ok := ps.byPath[path]; ok {
		ps.parseField(fl, mb.Value)
		return
	}
	if section == "" && ps.sections[path] {
		ps.parseObject(path, mb.Value)
		return
	}
	ps.addFinding(mb.Name.StartOffset, path, "unknown setting")
}

// parseField decodes a value into its target and checks it.
func (ps *parser) parseField(fl field, vl hujson.Value) {
	vl = vl.Clone()
	offset := vl.StartOffset
	vl.Standardize()
	raw := bytes.TrimSpace(vl.Pack())
	if err := decode(raw, fl.target(ps.st)); err != nil {
		ps.addFinding(offset, fl.path, "must be of type %s: %v", fl.typeName(), err)
		return
	}
	if message := fl.check(ps.st); message != "" {
		ps.addFinding(offset, fl.path, "%s", message)
	}
}

// decode unmarshals raw JSON into target. Durations are strings such as 250ms.
func decode(raw []byte, target any) error {
	if list, isList := target.(*[]time.Duration); isList {
		return decodeDurations(raw, list)
	}
	dr, isDuration := target.(*time.Duration)
	if !isDuration {
		dec := json.NewDecoder(bytes.NewReader(raw))
		dec.DisallowUnknownFields()
		return dec.Decode(target)
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*dr = value
	return nil
}

func decodeDurations(raw []byte, target *[]time.Duration) error {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		return err
	}
	values := make([]time.Duration, len(items))
	for ix, item := range items {
		if err := decode(item, &values[ix]); err != nil {
			return err
		}
	}
	*target = values
	return nil
}

// check returns a message if the stored value is invalid, and the empty string otherwise.
func (fl field) check(st *Settings) string {
	switch vl := fl.target(st).(type) {
	case *string:
		return fl.checkString(*vl)
	case *[]string:
		return fl.checkStrings(*vl)
	case *[]Operator:
		return checkOperators(*vl)
	case *[]time.Duration:
		for _, item := range *vl {
			if message := checkRange(item, fl.low.(time.Duration), fl.high.(time.Duration)); message != "" {
				return message
			}
		}
	case *time.Duration:
		return checkRange(*vl, fl.low.(time.Duration), fl.high.(time.Duration))
	case *int:
		return checkRange(*vl, fl.low.(int), fl.high.(int))
	case *float64:
		return checkRange(*vl, fl.low.(float64), fl.high.(float64))
	case *job.Condition:
		return checkCondition(*vl)
	}
	return ""
}

func checkCondition(cd job.Condition) string {
	if !slices.Contains(job.Conditions, cd) {
		return fmt.Sprintf("must be one of %s, is %q", conditionsText(), cd)
	}
	return ""
}

func checkRange[T int | float64 | time.Duration](vl, low, high T) string {
	if vl < low || vl > high {
		return fmt.Sprintf("must be %v to %v, is %v", low, high, vl)
	}
	return ""
}

func (fl field) checkStrings(vls []string) string {
	if fl.required && len(vls) == 0 {
		return "must not be empty"
	}
	for _, vl := range vls {
		if message := fl.checkString(vl); message != "" {
			return message
		}
	}
	return ""
}

func (fl field) checkString(vl string) string {
	switch {
	case vl == "":
		return "must not be empty"
	case fl.unit == unitAddress:
		return checkAddress(vl)
	case fl.unit == unitIP && net.ParseIP(vl) == nil:
		return fmt.Sprintf("must be an IP, is %q", vl)
	case fl.unit == unitKey && len(vl) < minSecretLength:
		return fmt.Sprintf("must have at least %d characters", minSecretLength)
	}
	return ""
}

// checkAddress requires an IP address and a port. Host names are rejected, since processes connect to each other by IP.
func checkAddress(vl string) string {
	host, _, err := net.SplitHostPort(vl)
	if err != nil {
		return fmt.Sprintf("must be IP:port, is %q", vl)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("must name an IP, is %q", vl)
	}
	return ""
}

func checkOperators(ops []Operator) string {
	names := map[string]bool{}
	for _, op := range ops {
		if op.Name == "" {
			return "each needs a name"
		}
		if names[op.Name] {
			return fmt.Sprintf("operator %q stands twice", op.Name)
		}
		names[op.Name] = true
		if len(op.Token) < minSecretLength {
			return fmt.Sprintf("token of %q must have at least %d characters", op.Name, minSecretLength)
		}
	}
	return ""
}

// finish sets defaults, reports missing required settings and checks settings that depend on each other.
func (ps *parser) finish() {
	for _, fl := range ps.schema {
		if _, set := ps.offsets[fl.path]; set {
			continue
		}
		if fl.required {
			ps.addFinding(len(ps.src), fl.path, "is required")
			continue
		}
		fl.setDefault(ps.st)
	}
	if ps.st.Caller.DefaultTimeout > ps.st.Caller.MaxRequestDuration {
		ps.addFinding(ps.offsets["caller.defaultTimeout"], "caller.defaultTimeout", "must not exceed caller.longestRequest")
	}
	tlsFiles := 0
	for _, file := range []string{ps.st.TLS.CertificateFile, ps.st.TLS.KeyFile, ps.st.TLS.AuthorityFile} {
		if file != "" {
			tlsFiles++
		}
	}
	if tlsFiles != 0 && tlsFiles != 3 {
		ps.addFinding(ps.offsets["tls"], "tls", "needs certificateFile, keyFile and authorityFile together")
	}
	if ps.st.Endpoint.EjectFor > ps.st.Endpoint.EjectForMax {
		ps.addFinding(ps.offsets["endpoint.ejectFor"], "endpoint.ejectFor", "must not exceed endpoint.ejectForMax")
	}
}

func (fl field) setDefault(st *Settings) {
	switch tg := fl.target(st).(type) {
	case *string:
		*tg = fl.defaultValue.(string)
	case *[]string:
		*tg = fl.defaultValue.([]string)
	case *[]Operator:
		*tg = fl.defaultValue.([]Operator)
	case *[]time.Duration:
		*tg = fl.defaultValue.([]time.Duration)
	case *time.Duration:
		*tg = fl.defaultValue.(time.Duration)
	case *int:
		*tg = fl.defaultValue.(int)
	case *float64:
		*tg = fl.defaultValue.(float64)
	case *job.Condition:
		*tg = fl.defaultValue.(job.Condition)
	}
}
