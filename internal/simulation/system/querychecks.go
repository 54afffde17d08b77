package system

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
	"github.com/doorpond/doorpond/internal/catalogue"
	"github.com/doorpond/doorpond/internal/failure"
)

// queryRecord is one query of a caller.
type queryRecord struct {
	asked string
	sent  time.Duration
	// id is the name that the daemon gave it.
	id       string
	answers  int
	notRun   bool
	complete bool
	canceled bool
	// outcome is what the caller was told, for reports.
	outcome string
}

// shardRun names one run of a sub-request.
type shardRun struct {
	query    string
	snapshot uint64
	index    string
	shard    int
}

// queryChecks is what back ends did for queries.
type queryChecks struct {
	records   []*queryRecord
	runs      map[string]int
	shardRuns map[shardRun]int
	published map[uint64]catalogue.Snapshot
}

func newQueryChecks() queryChecks {
	return queryChecks{
		runs: make(map[string]int), shardRuns: make(map[shardRun]int),
		published: make(map[uint64]catalogue.Snapshot),
	}
}

func (c *checks) querySent(record *queryRecord) {
	c.figures.Queries++
	c.queries.records = append(c.queries.records, record)
}

func (c *checks) queryNamed(record *queryRecord, id string) { record.id = id }

func (c *checks) ranSearch(request *backendapi.SearchRequest) {
	c.queries.runs[request.QueryID]++
	c.queries.shardRuns[shardRun{request.QueryID, request.Snapshot, request.Index, request.Shard}]++
}

// queryAnswered checks what a caller was told.
func (c *checks) queryAnswered(record *queryRecord, answer *client.Answer, err error) {
	record.answers++
	if record.answers > 1 {
		c.world.violate(PromiseAnswer, "query %s was answered %d times", record.asked, record.answers)
	}
	if err != nil {
		known := failure.From(err)
		record.notRun = known.NotRun
		record.canceled = known.Kind == failure.Canceled
		record.outcome = known.Error()
		c.figures.Refusals++
		c.world.tracef("query %s %s: %v", record.asked, record.id, known.Kind)
		return
	}
	c.figures.Answers++
	c.world.tracef("query %s %s: snapshot %d, %d of %d shards, %d hits, table %d", record.asked, record.id,
		answer.Snapshot, answer.Coverage.Answered, answer.Coverage.Asked, len(answer.Hits), answer.TableRevision)
	c.checkSnapshot(record, answer)
	c.checkCoverage(record, answer)
	c.checkAnswer(record, answer)
	record.outcome = fmt.Sprintf("%d of %d shards", answer.Coverage.Answered, answer.Coverage.Asked)
	for _, index := range answer.Coverage.Indexes {
		for _, missing := range index.Missing {
			record.outcome += fmt.Sprintf(", %s", missing.Reason)
		}
	}
	record.complete = answer.Coverage.Answered == answer.Coverage.Asked
	if record.complete {
		c.figures.FullAnswers++
	}
}

// checkSnapshot: every hit is from the one snapshot that the answer names.
func (c *checks) checkSnapshot(record *queryRecord, answer *client.Answer) {
	for _, hit := range answer.Hits {
		var snapshot uint64
		if _, err := fmt.Sscanf(hit.ID, "%d/", &snapshot); err != nil || snapshot != answer.Snapshot {
			c.world.violate(PromiseSnapshot, "query %s of snapshot %d holds hit %s", record.asked, answer.Snapshot, hit.ID)
			return
		}
	}
	published, known := c.queries.published[answer.Snapshot]
	if !known || len(answer.Coverage.Indexes) != len(published.Indexes) {
		c.world.violate(PromiseSnapshot, "query %s names snapshot %d with %d indexes", record.asked, answer.Snapshot, len(answer.Coverage.Indexes))
		return
	}
	for at, index := range published.Indexes {
		if told := answer.Coverage.Indexes[at]; told.Shards != len(index.Groups) || told.Index != index.Name {
			c.world.violate(PromiseSnapshot, "query %s counts %d shards of %s in snapshot %d", record.asked, told.Shards, told.Index, answer.Snapshot)
		}
	}
}

// checkCoverage: the shards told as answered are just those whose hits are in
// the answer, and back ends ran each of them for this query.
func (c *checks) checkCoverage(record *queryRecord, answer *client.Answer) {
	held := make(map[string]int)
	for _, hit := range answer.Hits {
		held[hit.ID]++
	}
	expected, asked, answered := 0, 0, 0
	for _, index := range answer.Coverage.Indexes {
		asked += index.Asked
		answered += index.Answered
		if index.Shards != index.Asked+len(index.NotAsked) || index.Asked != index.Answered+len(index.Missing) {
			c.world.violate(PromiseCoverage, "query %s: the counts of index %s do not add up", record.asked, index.Index)
		}
		for shard := range index.Shards {
			if leftOut(index.Missing, shard) || leftOut(index.NotAsked, shard) {
				continue
			}
			expected += hitsPerShard
			c.checkShard(record, answer, index.Index, shard, held)
		}
	}
	if expected != len(answer.Hits) || asked != answer.Coverage.Asked || answered != answer.Coverage.Answered {
		c.world.violate(PromiseCoverage, "query %s: %d hits of %d that the coverage implies, %d/%d shards in sum",
			record.asked, len(answer.Hits), expected, answered, asked)
	}
}

func leftOut(reports []client.ShardReport, shard int) bool {
	return slices.ContainsFunc(reports, func(report client.ShardReport) bool { return report.Shard == shard })
}

func (c *checks) checkShard(record *queryRecord, answer *client.Answer, index string, shard int, held map[string]int) {
	if c.queries.shardRuns[shardRun{record.id, answer.Snapshot, index, shard}] == 0 {
		c.world.violate(PromiseCoverage, "query %s: no back end ran %s shard %d", record.asked, index, shard)
	}
	for _, hit := range shardHits(answer.Snapshot, index, shard, record.asked) {
		if held[hit.ID] != 1 {
			c.world.violate(PromiseCoverage, "query %s: hit %s is in the answer %d times", record.asked, hit.ID, held[hit.ID])
		}
	}
}

// checkAnswer: the answer is to the caller's own query.
func (c *checks) checkAnswer(record *queryRecord, answer *client.Answer) {
	if answer.QueryID != record.id {
		c.world.violate(PromiseAnswer, "query %s got the answer of %s", record.id, answer.QueryID)
	}
	for _, hit := range answer.Hits {
		if hit.Document != record.asked {
			c.world.violate(PromiseAnswer, "query %s got a hit for %s", record.asked, hit.Document)
			return
		}
	}
}

// finishQueries: what was refused as not run did not run, even later.
func (c *checks) finishQueries() {
	for _, record := range c.queries.records {
		if record.notRun {
			c.figures.NotRunClaims++
		}
		if record.notRun && record.id != "" && c.queries.runs[record.id] > 0 {
			c.world.violate(PromiseNotRun, "query %s was refused as not run, and back ends ran %d sub-requests of it",
				record.asked, c.queries.runs[record.id])
		}
	}
}
