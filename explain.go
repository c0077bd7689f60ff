package main

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/aspenseam/aspenseam/event"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// errNoQuestion says that explain was not told what to explain.
var errNoQuestion = errors.New("explain needs one question, --loss or --job ID")

// question reads logs and answers.
type question interface {
	Read(rd io.Reader) error
	Report(wr io.Writer) error
}

// explainCommand reads logs and says what late, refused and unanswered jobs waited for, or what became of one job.
func explainCommand() command {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "Say from the logs of all instances, or some of them, what jobs waited for, or what became of one: aspenseam explain --loss entry1.log entry2.log; aspenseam explain --job f7c6fd7df91e3185 entry1.log entry2.log"
	var loss, asJSON bool
	var path, id string
	sub.Bool(&loss, "", "loss", "for each window and cell: jobs in time, late and not ended, and what those waited for")
	sub.String(&id, "", "job", "id of a job: what was decided of it and of the workers on which its tasks were, by time")
	sub.Bool(&asJSON, "", "json", "with --job: the lines as they are, as a JSON list")
	sub.AddPositionalValue(&path, "log", 1, true, "file with lines of logs; further files may follow")
	return command{sub, func(context.Context) error {
		paths := append([]string{path}, flaggy.TrailingArguments...)
		switch {
		case loss == (id != "") || loss && asJSON:
			return errNoQuestion
		case loss:
			return explain(event.NewLossAnalyzer(), paths)
		case asJSON:
			return explain(listedStory{event.NewJobTimeline(id)}, paths)
		}
		return explain(event.NewJobTimeline(id), paths)
	}}
}

// listedStory is a story that is told as a JSON list.
type listedStory struct{ *event.JobTimeline }

// Report writes the lines.
func (ls listedStory) Report(wr io.Writer) error { return ls.JSON(wr) }

// explain has a question answered from logs.
func explain(qs question, paths []string) error {
	for _, path := range paths {
		if err := readLog(qs, path); err != nil {
			return err
		}
	}
	return qs.Report(os.Stdout)
}

func readLog(qs question, path string) error {
	fi, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "read log")
	}
	defer fi.Close()
	return eris.Wrap(qs.Read(fi), "read log "+path)
}
