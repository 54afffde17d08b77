package document_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/doorpond/doorpond/internal/document"
)

func tableVersion(revision uint64) document.Document {
	body := fmt.Sprintf(`{"revision":%d}`, revision)
	return document.Document{Name: document.Table, Revision: revision, Body: []byte(body)}
}

func TestRegisterRevisionNeverDecreases(t *testing.T) {
	errRejected := errors.New("rejected")
	cases := []struct {
		name   string
		offers []document.Document
		want   []document.Revision
		// wantLast and wantErr are the results of the last offer.
		wantLast, wantErr bool
	}{
		{"first", []document.Document{tableVersion(3)}, []document.Revision{{Name: document.Table, Revision: 3}}, true, false},
		{"higher", []document.Document{tableVersion(3), tableVersion(5)}, []document.Revision{{Name: document.Table, Revision: 5}}, true, false},
		{"same", []document.Document{tableVersion(3), tableVersion(3)}, []document.Revision{{Name: document.Table, Revision: 3}}, false, false},
		{"lower", []document.Document{tableVersion(3), tableVersion(2)}, []document.Revision{{Name: document.Table, Revision: 3}}, false, false},
		{"zero", []document.Document{tableVersion(0)}, []document.Revision{}, false, false},
		{"rejected", []document.Document{tableVersion(3), tableVersion(13)}, []document.Revision{{Name: document.Table, Revision: 3}}, false, true},
		{"unknown", []document.Document{{Name: "other", Revision: 1}}, []document.Revision{}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			register := document.NewRegister()
			var accepted, notified []uint64
			register.AddAcceptor(document.Table, func(offered document.Document) error {
				if offered.Revision == 13 {
					return errRejected
				}
				if current, _ := register.Current(document.Table); current.Revision >= offered.Revision {
					t.Errorf("revision %d is current before it is accepted", current.Revision)
				}
				accepted = append(accepted, offered.Revision)
				return nil
			})
			register.Subscribe(func(latest document.Document) { notified = append(notified, latest.Revision) })
			var last bool
			var err error
			for _, offered := range c.offers {
				last, err = register.Offer(offered)
			}
			if last != c.wantLast || (err != nil) != c.wantErr {
				t.Errorf("accepted = %v, error = %v", last, err)
			}
			if diff := cmp.Diff(c.want, register.Revisions()); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(accepted, notified); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestParseRejectsInvalidBody(t *testing.T) {
	cases := map[string][]byte{
		"not JSON":    []byte("{"),
		"no revision": []byte("{}"),
		"wrong type":  []byte(`{"revision":"x"}`),
		"too large":   make([]byte, document.MaxBodyBytes+1),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			if got, err := document.Parse(document.Table, body); err == nil {
				t.Errorf("invalid body accepted as revision %d", got.Revision)
			}
		})
	}
}
