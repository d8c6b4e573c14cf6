package usage

import (
	"context"
	"crypto/ed25519"
	"io"

	"github.com/dragonflypin/dragonflypin/internal/process/store"
)

// Summary is the answer to "usage show".
type Summary struct {
	// Totals are sums by owner, workspace, class, model and owner of the upstream, in tokens.
	Totals []Total `json:"totals"`
	// Bills divide the totals between the owners.
	Bills []Bill `json:"bills"`
}

// Service answers the operators' questions about the stored usage record. It is safe for concurrent use.
type Service struct{ store store.Client }

// NewService returns a Service that reads from client.
func NewService(client store.Client) *Service { return &Service{store: client} }

// Summary reads the record and sums it.
func (s *Service) Summary(ctx context.Context) (Summary, error) {
	segments, err := Load(ctx, s.store)
	if err != nil {
		return Summary{}, err
	}
	totals := Totals(segments)
	return Summary{Totals: totals, Bills: Bills(totals)}, nil
}

// Verify reads the record and the registered keys and checks both.
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

// Keys returns the registered public keys by writer, for verification of an export offline.
func (s *Service) Keys(ctx context.Context) (map[string]ed25519.PublicKey, error) {
	return LoadKeys(ctx, s.store)
}

// VerifyExport checks an export against keys that the owner kept.
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
