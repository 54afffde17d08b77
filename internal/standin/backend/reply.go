package backend

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/doorpond/doorpond/client"
	"github.com/doorpond/doorpond/internal/backendapi"
)

func hollowID(shard, position int) string { return fmt.Sprintf("hollow-%d-%d", shard, position) }

// writeReply writes a search's reply with its fault, if it has one.
func writeReply(w http.ResponseWriter, reply backendapi.SearchReply, fault ReplyFault) {
	distort(&reply, fault)
	writeBody(w, reply, fault)
}

// distort makes the reply's content wrong.
func distort(reply *backendapi.SearchReply, fault ReplyFault) {
	switch fault {
	case FaultShort:
		shorten(reply)
	case FaultDuplicated:
		duplicate(reply)
	case FaultWrongShard:
		reply.Shard++
	case FaultWrongSnapshot:
		reply.Snapshot++
	case FaultWrongAttempt:
		reply.Attempt++
	case FaultCrossed:
		reply.QueryID += "-other"
	}
}

func shorten(reply *backendapi.SearchReply) {
	if len(reply.Hits) == 0 {
		reply.Count++
		reply.Total++
		return
	}
	reply.Hits = reply.Hits[:len(reply.Hits)-1]
}

func duplicate(reply *backendapi.SearchReply) {
	if len(reply.Hits) == 0 {
		return
	}
	reply.Hits = append([]client.Hit{reply.Hits[0]}, reply.Hits...)
	reply.Count++
	reply.Total++
}

// writeBody writes a reply, or cuts it as the fault says.
func writeBody(w http.ResponseWriter, reply any, fault ReplyFault) {
	switch fault {
	case FaultResetAfter:
		panic(http.ErrAbortHandler)
	case FaultServerError:
		http.Error(w, "stand-in fault", http.StatusInternalServerError)
	case FaultNotJSON:
		_, _ = w.Write([]byte("<html>stand-in fault</html>"))
	case FaultTruncated:
		writeTruncated(w, reply)
	default:
		writeJSON(w, http.StatusOK, reply)
	}
}

func writeTruncated(w http.ResponseWriter, reply any) {
	whole, err := json.Marshal(reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(whole[:len(whole)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
