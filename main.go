// Command aspenseam runs entry instances, the operator's calls, and stand-ins for trying it out.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/aspenseam/aspenseam/operator"
	"github.com/aspenseam/aspenseam/settings"
	"github.com/integrii/flaggy"
)

// Exit codes; docs/OPERATING.md lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitFindings = 3
	exitRefused  = 4
	// exitUnauthorized says that the token is not known.
	exitUnauthorized = 5
)

const version = "0.1.0"

// command is one subcommand with what it does.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx))
}

// run parses the command line, runs the chosen command and returns the exit code.
func run(ctx context.Context) int {
	parser := flaggy.NewParser("aspenseam")
	parser.Description = "Fleet capacity and maintenance manager."
	parser.Version = version
	commands := append([]command{entryCommand(), serveCommand(), checkCommand(), standinPlatformCommand(), standinEndpointCommand(), explainCommand(), queuesCommand(), organisationsCommand(), hallsCommand()}, operatorCommands()...)
	for _, cm := range commands {
		parser.AttachSubcommand(cm.sub, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "aspenseam:", err)
		return exitUsage
	}
	for _, cm := range commands {
		if cm.sub.Used {
			return exitOf(cm.run(ctx))
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// exitOf prints an error and returns the exit code that it stands for.
func exitOf(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var findings settings.Findings
	var refused *operator.CallError
	switch {
	case errors.As(err, &findings):
		return exitFindings
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		return exitRefused
	case errors.As(err, &refused) && refused.Status == http.StatusUnauthorized:
		return exitUnauthorized
	}
	return exitFailed
}

// checkCommand reports all findings of a settings file.
func checkCommand() command {
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Check a settings file and report every finding with line and column."
	var path string
	sub.AddPositionalValue(&path, "file", 1, true, "settings file")
	return command{sub, func(context.Context) error {
		if _, err := settings.Load(path); err != nil {
			return err
		}
		fmt.Println("no findings")
		return nil
	}}
}
