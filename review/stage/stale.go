package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// staleReads answers reads of the store that may be stale from copies of some seconds before.
type staleReads struct {
	behind time.Duration
	mutex  sync.Mutex
	copies []storeCopy
}

type storeCopy struct {
	at      time.Time
	content []byte // of one page
}

type rangePage struct {
	Items []json.RawMessage `json:"items"`
	More  bool              `json:"more"`
	At    int64             `json:"at"`
}

// keep takes a copy of the store four times a second.
func (r *staleReads) keep(store string) {
	for {
		var whole rangePage
		after := ""
		for {
			query := url.Values{"pathPrefix": {""}}
			if after != "" {
				query.Set("after", after)
			}
			response, err := http.Get(store + "/-/kv-range?" + query.Encode())
			if err != nil {
				return
			}
			var page rangePage
			err = json.NewDecoder(response.Body).Decode(&page)
			_ = response.Body.Close()
			if err != nil {
				return
			}
			if whole.At == 0 {
				whole.At = page.At
			}
			whole.Items = append(whole.Items, page.Items...)
			if !page.More || len(page.Items) == 0 {
				break
			}
			var last struct {
				Key string `json:"keyFile"`
			}
			check(json.Unmarshal(page.Items[len(page.Items)-1], &last))
			after = last.Key
		}
		if whole.Items == nil {
			whole.Items = []json.RawMessage{}
		}
		content, err := json.Marshal(whole)
		check(err)
		r.mutex.Lock()
		r.copies = append(r.copies, storeCopy{time.Now(), content})
		r.mutex.Unlock()
		time.Sleep(250 * time.Millisecond)
	}
}

// answer returns the page of the youngest copy that is old enough, or nil.
func (r *staleReads) answer() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i := len(r.copies) - 1; i >= 0; i-- {
		if time.Since(r.copies[i].at) >= r.behind {
			return r.copies[i].content
		}
	}
	return nil
}
