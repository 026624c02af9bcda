package cassiabench

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Report holds the results of a scenario with one or both policies.
type Report struct {
	Scenario string  `json:"scenario"`
	About    string  `json:"about"`
	Seed     uint64  `json:"seed"`
	Tuned    *Result `json:"tuned,omitempty"`
	Baseline *Result `json:"baseline,omitempty"`
}

// Add sets the result of the policy that produced it.
func (r *Report) Add(result *Result) {
	if result.Policy == PolicyBaseline {
		r.Baseline = result
	} else {
		r.Tuned = result
	}
}

// Violated reports whether the tuned policy, or the baseline if it ran alone, has violations.
func (r *Report) Violated() bool {
	if r.Tuned != nil {
		return r.Tuned.Violations.Any()
	}
	return r.Baseline != nil && r.Baseline.Violations.Any()
}

// Write writes the report in a format: text, json or html.
func (r *Report) Write(w io.Writer, format string) error {
	if err := CheckFormat(format); err != nil {
		return err
	}
	switch format {
	case "json":
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	case "html":
		return htmlReport.Execute(w, r)
	}
	return r.writeText(w)
}

// CheckFormat returns an error if Write does not support the format.
func CheckFormat(format string) error {
	if slices.Contains([]string{"text", "json", "html"}, format) {
		return nil
	}
	return eris.Errorf("unknown report format %q; use text, json or html", format)
}

// results returns the results of the policies that ran, the tuned policy first.
func (r *Report) results() []*Result {
	return slices.DeleteFunc([]*Result{r.Tuned, r.Baseline}, func(x *Result) bool { return x == nil })
}

// Row is one line of the report's table of measures.
type Row struct {
	Policy Policy
	Name   string
	Measures
}

// Rows returns the measures of each policy: those of all requests, then of each phase, then of each front.
func (r *Report) Rows() []Row {
	var rows []Row
	for _, x := range r.results() {
		rows = append(rows, Row{x.Policy, "all", x.Measures})
		for _, p := range x.Phases {
			rows = append(rows, Row{x.Policy, p.Phase, p.Measures})
		}
		for _, name := range slices.Sorted(maps.Keys(x.Fronts)) {
			rows = append(rows, Row{x.Policy, name, x.Fronts[name]})
		}
	}
	return rows
}

// Results returns the results of the policies that ran; the HTML template calls it.
func (r *Report) Results() []*Result { return r.results() }

func (r *Report) writeText(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d: %s\n\n", r.Scenario, r.Seed, r.About)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\trequests\tcount\tp50 ms\tp99 ms\tp999 ms\tcoverage\tfull\textra load")
	for _, row := range r.Rows() {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%d\t%.1f%%\n", row.Policy, row.Name,
			row.Queries, row.P50Ms, row.P99Ms, row.P999Ms, row.CoverageMean, row.FullAnswers, row.ExtraLoad*100)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, x := range r.results() {
		fmt.Fprintf(w, "\n%s: refusals %v, p50 %.1f ms, p99 %.1f ms, the slowest after %.1f ms, missing shards %v\n",
			x.Policy, x.Refusals, x.RefusalP50Ms, x.RefusalP99Ms, x.SlowestRefusalMs, x.Missing)
		fmt.Fprintf(w, "  crashed targets %d, connections over the cap %d, processor time %.2f ms a query (VMs, stand-ins and callers together)\n",
			x.TargetCrashes, x.ConnectionsRefused, x.ProcessCPUMsPerQuery)
		if p := x.PeerMessagesPerQuery; p != nil {
			fmt.Fprintf(w, "  messages between VMs a query: %.2f out, %.2f in\n", p.Out, p.In)
		}
		fmt.Fprintf(w, "  violations %+v\n", x.Violations)
		for _, kind := range slices.Sorted(maps.Keys(x.RefusalMessages)) {
			fmt.Fprintf(w, "  %s: %s\n", kind, x.RefusalMessages[kind])
		}
		for _, example := range x.Examples {
			fmt.Fprintf(w, "    %s\n", example)
		}
	}
	return nil
}

// htmlReport is the template of the HTML report, a single page without external resources.
var htmlReport = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Scenario}}</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #999;padding:.3em .6em;text-align:right}
td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}</style></head><body>
<h1>{{.Scenario}}, seed {{.Seed}}</h1><p>{{.About}}</p>
<table><tr><th>policy</th><th>requests</th><th>count</th><th>p50 ms</th><th>p99 ms</th><th>p999 ms</th><th>coverage</th><th>full answers</th><th>extra load</th></tr>
{{range .Rows}}<tr><td>{{.Policy}}</td><td>{{.Name}}</td><td>{{.Queries}}</td><td>{{.P50Ms}}</td><td>{{.P99Ms}}</td><td>{{.P999Ms}}</td>
<td>{{.CoverageMean}}</td><td>{{.FullAnswers}}</td><td>{{.ExtraLoad}}</td></tr>
{{end}}</table>
{{range .Results}}<h2>{{.Policy}}</h2>
<p>Refusals {{.Refusals}}, missing shards {{.Missing}}, crashed targets {{.TargetCrashes}}, connections over the cap {{.ConnectionsRefused}}.</p>
<p>Violations: {{printf "%+v" .Violations}}</p>
<ul>{{range .Examples}}<li>{{.}}</li>{{end}}</ul>
{{end}}</body></html>
`))
