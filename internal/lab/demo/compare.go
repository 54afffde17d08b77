package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/peer"
	"github.com/doorpond/doorpond/internal/policy"
	"github.com/doorpond/doorpond/internal/policytable"
	"github.com/doorpond/doorpond/internal/statistics"
)

// The load under which a policy is edited.
const (
	loadCallers          = 12
	queriesOfEachCaller  = 60
	comparisonWindow     = 10 * time.Minute
	tighterHedgeQuantile = 0.9
)

// editUnderLoad changes a policy while callers ask, and checks that every
// answer is right and that the last ones use the new revision.
func (d *demo) editUnderLoad(ctx context.Context) error {
	d.progress("editing a policy while %d callers ask", loadCallers)
	callers, callersContext := errgroup.WithContext(ctx)
	last := make([]uint64, loadCallers)
	edited := make(chan struct{})
	for number := range loadCallers {
		callers.Go(func() error {
			revision, err := d.callerLoop(callersContext, number, edited)
			last[number] = revision
			return err
		})
	}
	editErr := d.tighten(ctx)
	close(edited)
	if err := callers.Wait(); err != nil {
		return err
	}
	if editErr != nil {
		return editErr
	}
	for number, revision := range last {
		if revision != last[0] {
			return eris.Errorf("caller %d ended at revision %d, caller 0 at %d", number, revision, last[0])
		}
	}
	return nil
}

// callerLoop asks a number of times, and once more after the edit; it returns
// the revision of the last answer.
func (d *demo) callerLoop(ctx context.Context, number int, edited <-chan struct{}) (uint64, error) {
	query := client.Query{Group: "editors", Caller: fmt.Sprintf("editor-%d", number), Corpus: corpus.Cues, Phrase: "the"}
	for turn := range queriesOfEachCaller {
		if _, err := d.ask(ctx, number+turn, query); err != nil {
			return 0, err
		}
	}
	<-edited
	answer, err := d.ask(ctx, number, query)
	return answer.TableRevision, err
}

// tighten makes the policy "quick" hedge earlier.
func (d *demo) tighten(ctx context.Context) error {
	table, err := d.cluster.Operator.Table(ctx)
	if err != nil {
		return eris.Wrap(err, "read the table")
	}
	row := policy.NewIndex(table).Row("quick")
	if row == nil {
		return eris.New("the table has no policy quick")
	}
	changed := *row
	changed.Wait.HedgeQuantile = tighterHedgeQuantile
	return d.submit(ctx, policytable.Edit{
		ID: "demo-tighten", Author: "demo", ExpectedRevision: table.Revision, SetPolicies: []policy.Row{changed},
	})
}

// compare merges the statistics of all daemons, by policy.
func (d *demo) compare(ctx context.Context) error {
	d.progress("comparing the two policies over all daemons")
	peers := peer.NewClient(peer.ClientOptions{})
	defer peers.Close()
	var parts [][]statistics.PolicyStatistics
	for _, addresses := range d.cluster.Daemons {
		encoded, err := peers.Statistics(ctx, addresses.Peers, comparisonWindow)
		if err != nil {
			return eris.Wrap(err, "read statistics")
		}
		var part []statistics.PolicyStatistics
		if err := msgpack.Unmarshal(encoded, &part); err != nil {
			return eris.Wrap(err, "decode statistics")
		}
		parts = append(parts, part)
	}
	d.print("\n%-10s %-10s %8s %10s %10s %10s %9s %11s\n", "POLICY", "GROUP", "QUERIES", "P50", "P95", "P99", "COVERAGE", "EXTRA LOAD")
	for _, merged := range statistics.Merge(parts...) {
		d.print("%-10s %-10s %8d %10s %10s %10s %8.1f%% %10.1f%%\n", merged.Policy, merged.Group, merged.Samples(),
			merged.Quantile(0.5), merged.Quantile(0.95), merged.Quantile(0.99), 100*merged.Coverage(), 100*merged.ExtraLoad())
	}
	return nil
}
