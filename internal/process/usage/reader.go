package usage

import (
	"context"
	"crypto/ed25519"
	"io"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Summary is the response to "usage show".
type Summary struct {
	// Totals are token sums by owner, workspace, class, model and owner of the upstream.
	Totals []Total `json:"totals"`
	// Bills divide the totals among the owners.
	Bills []Bill `json:"bills"`
}

// Reader reads, sums, verifies and exports the stored usage records for operators. It is safe for concurrent use.
type Reader struct{ store store.Client }

// NewReader returns a Reader that reads from client.
func NewReader(client store.Client) *Reader { return &Reader{store: client} }

// Summary reads the record and returns its totals and bills.
func (r *Reader) Summary(ctx context.Context) (Summary, error) {
	segments, err := Load(ctx, r.store)
	if err != nil {
		return Summary{}, err
	}
	totals := Totals(segments)
	return Summary{Totals: totals, Bills: Bills(totals)}, nil
}

// Verify reads the record and verifies it with the registered keys.
func (r *Reader) Verify(ctx context.Context) (Report, error) {
	segments, err := Load(ctx, r.store)
	if err != nil {
		return Report{}, err
	}
	keys, err := LoadKeys(ctx, r.store)
	if err != nil {
		return Report{}, err
	}
	return Verify(segments, keys), nil
}

// Export writes the record as CSV.
func (r *Reader) Export(ctx context.Context, w io.Writer) error {
	segments, err := Load(ctx, r.store)
	if err != nil {
		return err
	}
	return Export(w, segments)
}

// Keys returns the registered public keys, keyed by writer, for offline verification of an export.
func (r *Reader) Keys(ctx context.Context) (map[string]ed25519.PublicKey, error) {
	return LoadKeys(ctx, r.store)
}

// VerifyExport verifies an export with keys that the owner has saved.
func VerifyExport(r io.Reader, keys map[string]ed25519.PublicKey) (Report, error) {
	segments, problems, err := Import(r)
	if err != nil {
		return Report{}, err
	}
	report := Verify(segments, keys)
	report.Problems = append(problems, report.Problems...)
	sortProblems(report.Problems)
	return report, nil
}
