package main

import (
	"context"
	"encoding/json"
	"io/fs"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/internal/standin/backend"
	"github.com/doorpond/doorpond/internal/standin/platform"
	"github.com/doorpond/doorpond/testdata"
)

const (
	flagCorpus       = "corpus"
	flagSeed         = "seed"
	flagReadyFile    = "ready-file"
	flagHollowShards = "hollow-shards"
	flagPart         = "part"
	flagParts        = "parts"

	flagHollowServiceTime    = "hollow-service-time"
	flagHollowStragglerShare = "hollow-straggler-share"
)

// hollowReplicas is the number of replicas of each shard of the synthetic corpus.
const hollowReplicas = 2

const readyFileMode = 0o644

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the store, the machine list and the back ends of both deployments until SIGTERM",
		Description: "Prints one line of JSON on standard output once everything listens:\n" +
			"store_url, machines_url, admin_url and the back ends' addresses.\n\n" +
			"Example: doorpond-lab platform --corpus ./files",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagCorpus, Usage: "index the .srt and .csv files under `DIRECTORY` (default: the corpus built in)"},
			&cli.Uint64Flag{Name: flagSeed, Value: 1, Usage: "seed of the service times"},
			&cli.IntFlag{Name: flagHollowShards, Usage: "also run the corpus \"hollow\" of `NUMBER` shards that answer at once, two replicas each"},
			&cli.DurationFlag{Name: flagHollowServiceTime, Usage: "mean service time of the hollow shards; half of it is constant"},
			&cli.FloatFlag{Name: flagHollowStragglerShare, Usage: "share of the hollow shards' requests that take 20 times as long"},
			&cli.IntFlag{Name: flagParts, Value: 1, Usage: "divide the replicas of each group among `NUMBER` processes"},
			&cli.IntFlag{Name: flagPart, Usage: "run the replicas of part `NUMBER`, from 0"},
			&cli.StringFlag{Name: flagReadyFile, Usage: "also write the line of JSON to `FILE`"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	config := platform.DefaultConfig(corpusFiles(command.String(flagCorpus)))
	config.Seed = command.Uint64(flagSeed)
	part, parts := command.Int(flagPart), command.Int(flagParts)
	if parts < 1 || part < 0 || part >= parts {
		return eris.Errorf("--%s must be from 0 to below --%s, not %d of %d", flagPart, flagParts, part, parts)
	}
	config.StartsReplica = func(number int) bool { return number%parts == part }
	if shards := command.Int(flagHollowShards); shards > 0 {
		config.Deployments = append(config.Deployments, hollowDeployment(command, shards))
	}
	running, err := platform.Start(ctx, config)
	if err != nil {
		return eris.Wrapf(err, "start the platform with corpus %q", command.String(flagCorpus))
	}
	if err := writeDescription(command, running.Describe()); err != nil {
		_ = running.Close() // the write error takes precedence
		return err
	}
	<-ctx.Done()
	return running.Close()
}

// hollowStragglerFactor multiplies the service time of a straggler.
const hollowStragglerFactor = 20

func hollowDeployment(command *cli.Command, shards int) platform.Deployment {
	deployment := platform.HollowDeployment(shards, hollowReplicas)
	mean := command.Duration(flagHollowServiceTime)
	deployment.Timing = &backend.Timing{
		Base: mean / 2, MeanExtra: mean / 2,
		StragglerShare: command.Float(flagHollowStragglerShare), StragglerFactor: hollowStragglerFactor,
	}
	return deployment
}

// corpusFiles returns the files of directory, or the embedded corpus if it is empty.
func corpusFiles(directory string) fs.FS {
	if directory == "" {
		return testdata.Corpus
	}
	return os.DirFS(directory)
}

func writeDescription(command *cli.Command, description platform.Description) error {
	line, err := json.Marshal(description)
	if err != nil {
		return eris.Wrap(err, "encode the description")
	}
	line = append(line, '\n')
	if path := command.String(flagReadyFile); path != "" {
		if err := os.WriteFile(path, line, readyFileMode); err != nil {
			return eris.Wrap(err, "write the ready file")
		}
	}
	if _, err := command.Root().Writer.Write(line); err != nil {
		return eris.Wrap(err, "print the description")
	}
	return nil
}
