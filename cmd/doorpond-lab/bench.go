package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/lab/bench"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/replica"
)

const (
	flagBenchShards         = "shards"
	flagBenchParallel       = "parallel"
	flagBenchRounds         = "rounds"
	flagBenchRates          = "rates"
	flagBenchTarget         = "target"
	flagBenchSamples        = "samples"
	flagBenchProtocol       = "protocol"
	flagBenchServiceTime    = "service-time"
	flagBenchStragglerShare = "straggler-share"
	flagBenchProfile        = "profile"
	flagBenchLength         = "length"
)

// defaultShards is the default fan-out, that of the largest production query.
const defaultShards = 390

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the path of a query against hollow back ends in another process",
		Commands: []*cli.Command{
			{
				Name: "subrequest", Usage: "processor time of a sub-request, beside a bare net/http exchange",
				Flags: benchFlags(
					&cli.IntFlag{Name: flagBenchParallel, Value: 4, Usage: "queries in flight"},
					&cli.IntFlag{Name: flagBenchRounds, Value: 3, Usage: "rounds of each"},
					&cli.StringFlag{Name: flagBenchProfile, Usage: "write a processor profile of the query path to `FILE`"},
				),
				Action: benchSubRequest,
			},
			{
				Name: "fanout", Usage: "latency of a query to many shards at rising rates",
				Flags: benchFlags(
					&cli.StringFlag{Name: flagBenchRates, Value: "10,20,40,60,80,100,120", Usage: "`RATES` of queries a second"},
					&cli.DurationFlag{Name: flagBenchTarget, Value: 60 * time.Millisecond, Usage: "what the 99th percentile must stay within"},
				),
				Action: benchFanout,
			},
			{
				Name: "protocols", Usage: "HTTP/1.1 beside HTTP/2 without TLS under hedging",
				Flags: benchFlags(
					&cli.StringFlag{Name: flagBenchRates, Value: "20", Usage: "`RATES` of queries a second"},
					&cli.DurationFlag{Name: flagBenchServiceTime, Value: 2 * time.Millisecond, Usage: "mean service time of the back ends"},
					&cli.FloatFlag{Name: flagBenchStragglerShare, Value: 0.02, Usage: "share of requests that take 20 times as long"},
				),
				Action: benchProtocols,
			},
			{
				Name: "added", Usage: "time that a daemon adds to a query of one shard",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: flagBenchSamples, Value: 20000, Usage: "queries each way"},
					&cli.DurationFlag{Name: flagBenchServiceTime, Usage: "mean service time of the back end"},
				},
				Action: benchAdded,
			},
		},
	}
}

func benchFlags(extra ...cli.Flag) []cli.Flag {
	return append(extra,
		&cli.IntFlag{Name: flagBenchShards, Value: defaultShards, Usage: "shards of a query"},
		&cli.DurationFlag{Name: flagBenchLength, Value: 5 * time.Second, Usage: "length of each step"},
		&cli.StringFlag{Name: flagBenchProtocol, Value: string(replica.ProtocolHTTP1), Usage: "http1 or h2c"},
	)
}

// withEnvironment starts an emulated platform in a separate process and calls
// measure with an environment connected to it.
func withEnvironment(ctx context.Context, command *cli.Command, shards int, protocol replica.Protocol, row policy.Row, measure func(*bench.Environment) error) error {
	arguments := []string{"--" + flagHollowShards, strconv.Itoa(shards)}
	if service := command.Duration(flagBenchServiceTime); service > 0 {
		arguments = append(arguments, "--"+flagHollowServiceTime, service.String())
	}
	if stragglers := command.Float(flagBenchStragglerShare); stragglers > 0 {
		arguments = append(arguments, "--"+flagHollowStragglerShare, strconv.FormatFloat(stragglers, 'f', -1, 64))
	}
	description, stop, err := bench.StartPlatform(ctx, arguments...)
	if err != nil {
		return err
	}
	defer stop()
	environment, err := bench.NewEnvironment(description, shards, protocol, row)
	if err != nil {
		return err
	}
	defer environment.Close()
	return measure(environment)
}

func parseProtocol(command *cli.Command) (replica.Protocol, error) {
	protocol := replica.Protocol(command.String(flagBenchProtocol))
	if protocol != replica.ProtocolHTTP1 && protocol != replica.ProtocolH2C {
		return "", eris.Errorf("unknown protocol %q", protocol)
	}
	return protocol, nil
}

// unhedgedPolicy returns a policy without hedged requests.
func unhedgedPolicy() policy.Row {
	row := policy.DefaultRow("bench")
	row.Wait.HedgeQuantile = 0
	return row
}

func benchSubRequest(ctx context.Context, command *cli.Command) error {
	protocol, err := parseProtocol(command)
	if err != nil {
		return err
	}
	return withEnvironment(ctx, command, command.Int(flagBenchShards), protocol, unhedgedPolicy(), func(environment *bench.Environment) error {
		result, err := environment.MeasureSubRequest(ctx, bench.SubRequestOptions{
			Profile:     command.String(flagBenchProfile),
			Concurrency: command.Int(flagBenchParallel), Rounds: command.Int(flagBenchRounds), Length: command.Duration(flagBenchLength),
		})
		if err != nil {
			return err
		}
		return printJSON(command, result)
	})
}

func benchFanout(ctx context.Context, command *cli.Command) error {
	protocol, err := parseProtocol(command)
	if err != nil {
		return err
	}
	rates, err := parseRates(command.String(flagBenchRates))
	if err != nil {
		return err
	}
	return withEnvironment(ctx, command, command.Int(flagBenchShards), protocol, policy.DefaultRow("bench"), func(environment *bench.Environment) error {
		options := bench.FanoutOptions{Rates: rates, Length: command.Duration(flagBenchLength), Target: command.Duration(flagBenchTarget), Seed: 1}
		return printJSON(command, environment.MeasureFanout(ctx, options, func(step bench.FanoutStep) {
			fmt.Fprintf(command.Root().ErrWriter, "%.0f queries/s: p50 %v, p99 %v\n", step.Rate, step.P50, step.P99)
		}))
	})
}

// protocolResult is the result of the fan-out benchmark for one protocol.
type protocolResult struct {
	Protocol replica.Protocol   `json:"protocol"`
	Hedging  bool               `json:"hedging"`
	Steps    []bench.FanoutStep `json:"steps"`
}

func benchProtocols(ctx context.Context, command *cli.Command) error {
	rates, err := parseRates(command.String(flagBenchRates))
	if err != nil {
		return err
	}
	var results []protocolResult
	for _, row := range []policy.Row{unhedgedPolicy(), policy.DefaultRow("bench")} {
		for _, protocol := range []replica.Protocol{replica.ProtocolHTTP1, replica.ProtocolH2C} {
			err := withEnvironment(ctx, command, command.Int(flagBenchShards), protocol, row, func(environment *bench.Environment) error {
				options := bench.FanoutOptions{Rates: rates, Length: command.Duration(flagBenchLength), Target: time.Minute, Seed: 1}
				measured := environment.MeasureFanout(ctx, options, func(bench.FanoutStep) {})
				results = append(results, protocolResult{protocol, row.Wait.HedgeQuantile > 0, measured.Steps})
				return nil
			})
			if err != nil {
				return err
			}
		}
	}
	return printJSON(command, results)
}

func benchAdded(ctx context.Context, command *cli.Command) error {
	return withEnvironment(ctx, command, 1, replica.ProtocolHTTP1, unhedgedPolicy(), func(environment *bench.Environment) error {
		result, err := environment.MeasureAdded(ctx, command.Int(flagBenchSamples))
		if err != nil {
			return err
		}
		return printJSON(command, result)
	})
}

func parseRates(list string) ([]float64, error) {
	var rates []float64
	for _, text := range strings.Split(list, ",") {
		rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || rate <= 0 {
			return nil, eris.Errorf("rate %q: want a number over 0", text)
		}
		rates = append(rates, rate)
	}
	return rates, nil
}

func printJSON(command *cli.Command, value any) error {
	encoder := json.NewEncoder(command.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
