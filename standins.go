package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/aspenseam/aspenseam/standin"
	"github.com/aspenseam/aspenseam/table"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// standinPlatformCommand runs a stand-in of the platform.
func standinPlatformCommand() command {
	sub := flaggy.NewSubcommand("standin-platform")
	sub.Description = "Run a stand-in of the platform, for trying out and for tests; it keeps everything in memory."
	var address, seedPath, hook string
	sub.String(&address, "a", "address", "IP:port to listen on")
	sub.String(&seedPath, "s", "seed", "file with instances, services and members to start with")
	sub.String(&hook, "k", "hook", "URL that carries out actions on instances, by POST to URL/action/instance")
	return command{sub, func(ctx context.Context) error {
		pl := standin.NewPlatform()
		pl.SetHook(hook)
		if seedPath != "" {
			if err := loadSeed(pl, seedPath); err != nil {
				return err
			}
		}
		return standin.Serve(ctx, address, pl.Handler())
	}}
}

func loadSeed(pl *standin.Platform, path string) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read seed")
	}
	src, err = hujson.Standardize(src)
	if err != nil {
		return eris.Wrap(err, "parse seed")
	}
	var seed standin.Seed
	if err := json.Unmarshal(src, &seed); err != nil {
		return eris.Wrap(err, "parse seed")
	}
	return pl.Load(seed)
}

// standinEndpointCommand runs a stand-in of an endpoint.
func standinEndpointCommand() command {
	sub := flaggy.NewSubcommand("standin-endpoint")
	sub.Description = "Run a stand-in of an endpoint, for trying out and for tests."
	var address, id, journal string
	slots := 0
	var work time.Duration
	sub.String(&address, "a", "address", "IP:port to listen on")
	sub.String(&id, "i", "id", "instance id")
	sub.String(&journal, "j", "journal", "file to which each execution is appended before it begins")
	sub.Int(&slots, "n", "slots", "requests worked on at a time")
	sub.Duration(&work, "w", "work", "time that each request takes")
	return command{sub, func(ctx context.Context) error {
		ep := standin.NewEndpoint(table.InstanceID(id), slots, work)
		if journal != "" {
			file, err := os.OpenFile(journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return eris.Wrap(err, "open journal")
			}
			defer func() { _ = file.Close() }()
			ep.SetJournal(file)
		}
		return standin.Serve(ctx, address, ep.Handler(), func(srv *http.Server) { srv.ConnState = ep.ConnState })
	}}
}
