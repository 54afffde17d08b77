package demo

import (
	"context"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rotisserie/eris"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/corpus"
	"github.com/doorpond/doorpond/internal/standin/platform"
)

// sampleQueries are of both users' kinds.
func sampleQueries() []client.Query {
	return []client.Query{
		{Group: "gate", Corpus: corpus.Cards, Card: "AY-1185"},
		{Group: "gate", Corpus: corpus.Cards, Phrase: "balance moved", Limit: 5},
		{Group: "editors", Caller: "editor-1", Corpus: corpus.Cues, Phrase: "the rain"},
		{Group: "editors", Caller: "editor-2", Corpus: corpus.Cues, Phrase: "ቡና", Order: client.OrderTime},
	}
}

// showAnswers asks each daemon in turn and prints what came.
func (d *demo) showAnswers(ctx context.Context) error {
	d.progress("asking for card histories and cues, and checking each answer against the files")
	for i, query := range sampleQueries() {
		answer, err := d.ask(ctx, i, query)
		if err != nil {
			return err
		}
		d.printAnswer(query, answer)
	}
	return nil
}

// ask sends a query to one of the daemons and checks the answer.
func (d *demo) ask(ctx context.Context, turn int, query client.Query) (client.Answer, error) {
	answer, err := d.clients[turn%len(d.clients)].Query(ctx, query)
	if err != nil {
		return answer, eris.Wrapf(err, "query %q%q", query.Phrase, query.Card)
	}
	if answer.Coverage.Share < 1 {
		return answer, nil // a partial answer says so itself
	}
	want := corpus.Search(d.platform.Records, query)
	if diff := cmp.Diff(want, answer.Hits, cmpopts.EquateEmpty()); diff != "" {
		return answer, eris.Errorf("query %q%q: wrong answer (-files +daemon):\n%s", query.Phrase, query.Card, diff)
	}
	return answer, nil
}

func (d *demo) printAnswer(query client.Query, answer client.Answer) {
	d.print("\n%s asks %s for %s%s: %d hits, %d of %d shards, snapshot %d, policy %s at revision %d, %s\n",
		query.Group, query.Corpus, query.Card, query.Phrase, len(answer.Hits),
		answer.Coverage.Answered, answer.Coverage.Asked, answer.Snapshot,
		answer.Policy, answer.TableRevision, time.Duration(answer.TookMicroseconds)*time.Microsecond)
	const shown = 3
	for i, hit := range answer.Hits[:min(shown, len(answer.Hits))] {
		d.print("  %d. %s %s: %s\n", i+1, hit.Index, hit.Document, hit.Text)
	}
}

// callOnce sends one refund twice, through two daemons.
func (d *demo) callOnce(ctx context.Context) error {
	d.progress("sending one refund twice, through two daemons")
	call := client.Call{Group: "clerks", Key: "demo-refund-1", Service: platform.RefundService, Operation: "credit"}
	for turn := range 2 {
		result, err := d.clients[turn].Call(ctx, call)
		if err != nil {
			return eris.Wrap(err, "refund")
		}
		d.print("refund %s through daemon %d: %s (repeated: %v)\n", call.Key, turn+1, result.Result, result.Repeated)
	}
	if ran := d.platform.Executions()[call.Key]; ran != 1 {
		return eris.Errorf("the refund ran %d times", ran)
	}
	return nil
}
