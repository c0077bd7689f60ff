package main

import (
	"context"
	"errors"
	"os"

	"github.com/aspenseam/aspenseam/event"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// errNoQuestion says that explain was not told what to explain.
var errNoQuestion = errors.New("explain needs --loss, the only question that it answers")

// explainCommand reads logs and says what late, refused and unanswered jobs waited for.
func explainCommand() command {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Say from the logs of all instances, or some of them, what late and refused jobs waited for: aspenseam explain --loss entry1.log entry2.log"
	var loss bool
	var path string
	sub.Bool(&loss, "", "loss", "for each window and cell: jobs in time, late and not ended, and what those waited for")
	sub.AddPositionalValue(&path, "log", 1, true, "file with lines of logs; further files may follow")
	return command{sub, func(context.Context) error {
		if !loss {
			return errNoQuestion
		}
		return explainLoss(append([]string{path}, flaggy.TrailingArguments...))
	}}
}

func explainLoss(paths []string) error {
	ls := event.NewLoss()
	for _, path := range paths {
		if err := readLog(ls, path); err != nil {
			return err
		}
	}
	return ls.Report(os.Stdout)
}

func readLog(ls *event.Loss, path string) error {
	fi, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "read log")
	}
	defer fi.Close()
	return eris.Wrap(ls.Read(fi), "read log "+path)
}
