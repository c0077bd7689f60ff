package main

import (
	"errors"
	"os/user"

	"github.com/integrii/flaggy"
)

// actionList is the action of all commands that only shows the state.
const actionList = "list"

// Errors of commands that speak to the platform's store.
var (
	errStoreMissing  = errors.New("needs --store, the address of the platform's store as the settings of an instance name it")
	errReasonMissing = errors.New("needs a reason: --why")
)

// storeCall holds the words and flags of a command that lists things kept in the platform's store, and begins or ends something for
// one of them.
type storeCall struct {
	// begin and end are the actions besides list; usage is the error for other words.
	begin, end string
	usage      error

	action, name, store, why, by string
	asJSON                       bool
}

// addTo adds the words and flags to a subcommand.
func (sc *storeCall) addTo(sub *flaggy.Subcommand, noun string) {
	sc.action, sc.by = actionList, userName()
	sub.AddPositionalValue(&sc.action, "action", 1, false, "list, "+sc.begin+" or "+sc.end)
	sub.AddPositionalValue(&sc.name, noun, 2, false, "name of the "+noun)
	sub.String(&sc.store, "s", "store", "address of the platform's store")
	sub.String(&sc.why, "w", "why", "reason, for those who find it")
	sub.String(&sc.by, "b", "by", "who does it; default the user's name")
	sub.Bool(&sc.asJSON, "j", "json", "print JSON")
}

// check reports the first fault of the words and flags.
func (sc *storeCall) check() error {
	switch {
	case sc.action != actionList && sc.action != sc.begin && sc.action != sc.end, (sc.action == actionList) != (sc.name == ""):
		return sc.usage
	case sc.store == "":
		return errStoreMissing
	case sc.action == sc.begin && sc.why == "":
		return errReasonMissing
	}
	return nil
}

func userName() string {
	if us, err := user.Current(); err == nil {
		return us.Username
	}
	// Without a name the reason must do.
	return ""
}
