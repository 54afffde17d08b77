package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes a summary for a terminal.
func (r *Result) Print(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, deployment %s, seed %d\n\n", r.Mode, r.Deployment, r.Seed)
	for i := range r.Cases {
		r.Cases[i].print(table)
	}
	return table.Flush()
}

func (c *Case) print(table io.Writer) {
	fmt.Fprintf(table, "%s at %g of the capacity\n", c.Scenario, c.Rate)
	fmt.Fprintln(table, "  strategy\tp50 ms\tp95\tp99\tp99.9\tcoverage\tserved\textra load\trefused\tgoodput/s\tback after s\tsurge")
	for i := range c.Outcomes {
		outcome := &c.Outcomes[i]
		figures := &outcome.Focus
		fmt.Fprintf(table, "  %s\t%.1f\t%.1f\t%.1f\t%.1f\t%.5f\t%.5f\t%.4f\t%.4f\t%.1f\t%s\n",
			outcome.Strategy, figures.P50, figures.P95, figures.P99, figures.P999,
			figures.Coverage, figures.Served, figures.ExtraLoad, figures.Refused, figures.Goodput, outcome.Recovery)
	}
	c.printUnanswered(table)
	for _, goal := range c.Goals {
		fmt.Fprintf(table, "  %s\n", goal)
	}
	c.printClasses(table)
	fmt.Fprintln(table)
}

// printUnanswered shows where queries ended in errors.
func (c *Case) printUnanswered(table io.Writer) {
	for i := range c.Outcomes {
		if figures := &c.Outcomes[i].Focus; figures.Unanswered > 0 {
			fmt.Fprintf(table, "  %s: %d of %d queries without an answer\n", c.Outcomes[i].Strategy, figures.Unanswered, figures.Queries)
		}
	}
}

// printClasses shows the classes where priorities matter.
func (c *Case) printClasses(table io.Writer) {
	if c.Rate <= 1 {
		return
	}
	for i := range c.Outcomes {
		for _, class := range c.Outcomes[i].Classes {
			fmt.Fprintf(table, "  %s %s\t%.1f\t%.1f\t%.1f\t%.1f\t%.5f\t%.5f\t%.4f\t%.4f\t%.1f\n",
				c.Outcomes[i].Strategy, class.Class, class.Figures.P50, class.Figures.P95, class.Figures.P99,
				class.Figures.P999, class.Figures.Coverage, class.Figures.Served, class.Figures.ExtraLoad, class.Figures.Refused, class.Figures.Goodput)
		}
	}
}

// String returns the recovery as two cells.
func (r *Recovery) String() string {
	if r == nil {
		return "-\t-"
	}
	return fmt.Sprintf("%d\t%.2f", r.Seconds, r.Surge)
}
