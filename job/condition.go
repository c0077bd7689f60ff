package job

// Condition says for which configurations an optional function is used.
type Condition string

// The conditions.
const (
	Never Condition = "never"
	// WithOrganisations means that the configuration names organisations. Callers of several organisations then compete for the pools.
	WithOrganisations Condition = "withOrganisations"
	Always            Condition = "always"
)

// Conditions lists all conditions.
var Conditions = []Condition{Never, WithOrganisations, Always}

// Holds reports whether the function is used with a configuration, which may be nil if none is known yet. An empty condition never holds.
func (cd Condition) Holds(cf *Configuration) bool {
	switch cd {
	case Always:
		return true
	case WithOrganisations:
		return cf != nil && cf.Organisations != nil
	}
	return false
}
