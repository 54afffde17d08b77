package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/lab/load"
)

const (
	flagURL         = "url"
	flagRate        = "rate"
	flagDuration    = "duration"
	flagConcurrency = "concurrency"
	flagGroup       = "group"
	flagSearch      = "search"
	flagCallers     = "callers"
)

const (
	defaultRate        = 100
	defaultDuration    = 10 * time.Second
	defaultConcurrency = 10_000
	defaultCallers     = 64
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send queries to daemons at a steady rate and report latency, coverage and extra load as JSON",
		Description: "Latency counts from each query's intended start.\n\n" +
			"Example: doorpond-lab load --url http://127.0.0.1:7000 --search cards --rate 200 --duration 30s",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagURL, Required: true, Usage: "base `URL` of a daemon's callers' port; may be given again"},
			&cli.FloatFlag{Name: flagRate, Value: defaultRate, Usage: "queries a second"},
			&cli.DurationFlag{Name: flagDuration, Value: defaultDuration, Usage: "how long new queries start"},
			&cli.IntFlag{Name: flagConcurrency, Value: defaultConcurrency, Usage: "greatest number of queries in flight"},
			&cli.StringFlag{Name: flagGroup, Value: "load", Usage: "caller group"},
			&cli.IntFlag{Name: flagCallers, Value: defaultCallers, Usage: "number of callers in the group, over which a split assignment divides"},
			&cli.StringFlag{Name: flagSearch, Value: corpus.Cards, Usage: "corpus to search: cards, cues or hollow"},
			&cli.StringFlag{Name: flagCorpus, Usage: "draw queries from the files under `DIRECTORY` (default: the corpus built in)"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the times and the queries"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	source, err := querySource(command)
	if err != nil {
		return err
	}
	callers := command.Int(flagCallers)
	if callers < 1 {
		return eris.Errorf("--%s %d is not above 0", flagCallers, callers)
	}
	report, err := load.Run(ctx, load.Options{
		URLs:        command.StringSlice(flagURL),
		Rate:        command.Float(flagRate),
		Duration:    command.Duration(flagDuration),
		Concurrency: command.Int(flagConcurrency),
		Source:      load.Callers(source, callers),
		Seed:        command.Uint64(flagSeed),
		Client:      loadClient(command.Int(flagConcurrency)),
	})
	if err != nil {
		return eris.Wrap(err, "run the load")
	}
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// querySource returns a source of queries drawn from the records of the corpus,
// or of one fixed query if the corpus has no records.
func querySource(command *cli.Command) (load.Source, error) {
	template := client.Query{Corpus: command.String(flagSearch), Group: command.String(flagGroup)}
	records, err := corpus.Load(corpusFiles(command.String(flagCorpus)))
	if err != nil {
		return nil, eris.Wrap(err, "load the corpus")
	}
	if len(corpus.Indexes(records, template.Corpus)) > 0 {
		return load.FromRecords(records, template), nil
	}
	template.Phrase = "hollow"
	return load.Fixed(template), nil
}

// loadClient returns an HTTP client with one idle connection per concurrent
// query, so that latencies do not include connection setup.
func loadClient(concurrency int) *http.Client {
	transport := &http.Transport{
		MaxIdleConns:        concurrency,
		MaxIdleConnsPerHost: concurrency,
	}
	return &http.Client{Transport: transport}
}
