package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorpond/doorpond/client"
)

const defaultGroup = "default"

func newQueryClient(command *cli.Command) (*client.Client, error) {
	transport, scheme, err := newTransport(command)
	if err != nil {
		return nil, err
	}
	return client.New(baseURL(command.String(flagDaemon), scheme), &http.Client{Timeout: requestTimeout, Transport: transport}), nil
}

func callerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "group", Aliases: []string{"g"}, Value: defaultGroup, Usage: "caller `GROUP`"},
		&cli.StringFlag{Name: "caller", Usage: "`NAME` inside the group, which a split assignment hashes"},
		&cli.DurationFlag{Name: "deadline", Usage: "`TIME` allowed, such as 60ms"},
	}
}

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "send one query to a daemon and show its answer",
		ArgsUsage: "[PHRASE]",
		Description: `Examples:
   doorpond query --group editors --corpus cues "good morning"
   doorpond query --group gate --corpus cards --card 4000123412341234 --deadline 60ms`,
		Flags: append(callerFlags(),
			&cli.StringFlag{Name: "corpus", Required: true, Usage: "`NAME` of the corpus"},
			&cli.StringSliceFlag{Name: "index", Usage: "search only this index `NAME`; may be repeated"},
			&cli.StringFlag{Name: "card", Usage: "card `NUMBER`, in place of a phrase"},
			&cli.StringFlag{Name: "order", Usage: "`ORDER` rank or time"},
			&cli.StringFlag{Name: "priority", Usage: "`PRIORITY` critical, high, normal or batch"},
			&cli.IntFlag{Name: "limit", Usage: "the greatest `NUMBER` of hits"},
			&cli.FloatFlag{Name: "least-coverage", Usage: "`SHARE` of shards, from 0 to 1, below which to fail"}),
		Action: sendQuery,
	}
}

func sendQuery(ctx context.Context, command *cli.Command) error {
	phrases, err := arguments(command, 0, 1)
	if err != nil {
		return err
	}
	query := client.Query{
		Group: command.String("group"), Caller: command.String("caller"), Corpus: command.String("corpus"),
		Indexes: command.StringSlice("index"), Card: command.String("card"), Order: client.Order(command.String("order")),
		Priority: client.Priority(command.String("priority")), Limit: int(command.Int("limit")),
		DeadlineMilliseconds: command.Duration("deadline").Milliseconds(), LeastCoverage: command.Float("least-coverage"),
	}
	if len(phrases) == 1 {
		query.Phrase = phrases[0]
	}
	if (query.Phrase == "") == (query.Card == "") {
		return usageError("specify either a phrase or --card")
	}
	queryClient, err := newQueryClient(command)
	if err != nil {
		return err
	}
	answer, err := queryClient.Query(ctx, query)
	if err != nil {
		return withExitCode(err, false)
	}
	return writeResult(command, answer, func(w io.Writer) { printAnswer(w, answer) })
}

// maxCueTime separates cue offsets from Unix times: no subtitle file is longer.
const maxCueTime = 1000 * time.Hour

// hitTime formats the offset of a cue in its file or the date of a record.
func hitTime(hit client.Hit) string {
	start := time.Duration(hit.TimeMilliseconds) * time.Millisecond
	if start <= maxCueTime {
		return start.String()
	}
	return time.UnixMilli(hit.TimeMilliseconds).UTC().Format(time.RFC3339)
}

func printAnswer(w io.Writer, answer client.Answer) {
	hits := newColumnWriter(w, "INDEX", "DOCUMENT", "TIME", "RANK", "TEXT")
	for _, hit := range answer.Hits {
		hits.row(hit.Index, hit.Document, hitTime(hit), fmt.Sprintf("%.3f", hit.Rank), hit.Text)
	}
	hits.flush()
	coverage := answer.Coverage
	fmt.Fprintf(w, "\n%d hits", len(answer.Hits))
	if answer.Truncated {
		fmt.Fprint(w, " (more matched)")
	}
	fmt.Fprintf(w, "; %d of %d shards answered (%.1f%%); snapshot %d; policy %s at table revision %d; %d sub-requests; %s\n",
		coverage.Answered, coverage.Asked, 100*coverage.Share, answer.Snapshot, answer.Policy, answer.TableRevision,
		answer.Attempts, time.Duration(answer.TookMicroseconds)*time.Microsecond)
	for _, index := range coverage.Indexes {
		printShards(w, "missing", index.Missing)
		printShards(w, "not asked", index.NotAsked)
	}
}

// maxShardLines limits the number of shards listed in text output.
const maxShardLines = 10

func printShards(w io.Writer, label string, shards []client.ShardReport) {
	for _, shard := range shards[:min(len(shards), maxShardLines)] {
		fmt.Fprintf(w, "%s: %s shard %d: %s\n", label, shard.Index, shard.Shard, shard.Reason)
	}
	if omitted := len(shards) - maxShardLines; omitted > 0 {
		fmt.Fprintf(w, "%s: %d more of %s\n", label, omitted, shards[0].Index)
	}
}

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "run an operation that may not be repeated",
		Description: `The key names the operation for good: the same key never runs twice, so a call
of unknown outcome (exit code 5) can be repeated with the same key.

Example:
   doorpond call --group clerks --service refunds --operation credit \
      --key refund-2031 --payload '{"card": "4000123412341234", "amount": 250}'`,
		Flags: append(callerFlags(),
			&cli.StringFlag{Name: "key", Required: true, Usage: "`KEY` that names the operation"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "back-end `SERVICE`"},
			&cli.StringFlag{Name: "operation", Required: true, Usage: "`NAME` of the operation"},
			&cli.StringFlag{Name: "payload", Usage: "`JSON` handed to the service"}),
		Action: sendCall,
	}
}

func sendCall(ctx context.Context, command *cli.Command) error {
	if _, err := arguments(command, 0, 0); err != nil {
		return err
	}
	payload := command.String("payload")
	if payload != "" && !json.Valid([]byte(payload)) {
		return usageError("--payload is not valid JSON")
	}
	call := client.Call{
		Group: command.String("group"), Caller: command.String("caller"), Key: command.String("key"),
		Service: command.String("service"), Operation: command.String("operation"), Payload: json.RawMessage(payload),
		DeadlineMilliseconds: command.Duration("deadline").Milliseconds(),
	}
	queryClient, err := newQueryClient(command)
	if err != nil {
		return err
	}
	result, err := queryClient.Call(ctx, call)
	if err != nil {
		return withExitCode(err, true)
	}
	return writeResult(command, result, func(w io.Writer) {
		fmt.Fprintf(w, "%s\n", result.Result)
		if result.Repeated {
			fmt.Fprintln(w, "remembered from an earlier call with the same key")
		}
	})
}
