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

// Service reads, sums, verifies and exports the stored usage record for operators. It is safe for concurrent use.
type Service struct{ store store.Client }

// NewService returns a Service that reads from client.
func NewService(client store.Client) *Service { return &Service{store: client} }

// Summary reads the record and returns its totals and bills.
func (s *Service) Summary(ctx context.Context) (Summary, error) {
	segments, err := Load(ctx, s.store)
	if err != nil {
		return Summary{}, err
	}
	totals := Totals(segments)
	return Summary{Totals: totals, Bills: Bills(totals)}, nil
}

// Verify reads the record and verifies it with the registered keys.
func (s *Service) Verify(ctx context.Context) (Report, error) {
	segments, err := Load(ctx, s.store)
	if err != nil {
		return Report{}, err
	}
	keys, err := LoadKeys(ctx, s.store)
	if err != nil {
		return Report{}, err
	}
	return Verify(segments, keys), nil
}

// Export writes the record as CSV.
func (s *Service) Export(ctx context.Context, w io.Writer) error {
	segments, err := Load(ctx, s.store)
	if err != nil {
		return err
	}
	return Export(w, segments)
}

// Keys returns the registered public keys, keyed by writer, for offline verification of an export.
func (s *Service) Keys(ctx context.Context) (map[string]ed25519.PublicKey, error) {
	return LoadKeys(ctx, s.store)
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
