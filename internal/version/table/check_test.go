package table_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dragonflypin/dragonflypin/internal/version/table"
)

// Guards against rows whose values contradict each other without a finding, and against findings about sound rows.
func TestContradictions(t *testing.T) {
	sound := table.Row{Class: "chat", TTFTTarget: time.Second, TokenTarget: time.Second, MaxWait: 2 * time.Second, Timeout: 3 * time.Second}
	withoutTimeout := sound
	withoutTimeout.Timeout = 0
	for _, test := range []struct {
		row     table.Row
		columns []string
	}{
		{sound, nil},
		{withoutTimeout, nil},
		{table.Row{Class: "chat", TTFTTarget: 2 * time.Second, Timeout: time.Second}, []string{table.ColumnTimeout}},
		{table.Row{Class: "chat", TokenTarget: 2 * time.Second, Timeout: time.Second}, []string{table.ColumnTokenTarget}},
		{table.Row{Class: "chat", MaxWait: time.Second, Timeout: time.Second}, []string{table.ColumnMaxWait}},
	} {
		var columns []string
		for _, p := range table.Contradictions([]table.Row{test.row}) {
			columns = append(columns, p.Column)
		}
		if !slices.Equal(columns, test.columns) {
			t.Errorf("row %+v: contradictions in %v, want %v", test.row, columns, test.columns)
		}
	}
}
