// Package classifier determines from the text of a statement whether it reads
// or writes, whether it begins or ends a transaction, and which hints the
// client gives in its comments.
package classifier

import (
	"strings"
	"sync"

	query "github.com/pganalyze/pg_query_go/v6"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Classification describes the effect of an SQL text, which may contain several
// statements.
type Classification struct {
	// Write reports whether the text must run on the primary. Text that can't be
	// parsed counts as a write; the server answers with its error.
	Write bool
	// Begin and End report whether a statement begins or ends a transaction.
	Begin bool
	End   bool
	// RollbackOnly reports whether the text is a single ROLLBACK.
	RollbackOnly bool
	// UnsupportedFeature names a feature in the text that pooled connections
	// don't support, such as session state; it is empty if there is none.
	UnsupportedFeature string
	// Set is the assignment of a single SET, Show the name in a SHOW.
	Set  *Assignment
	Show string
	// StatementCount is the number of statements.
	StatementCount int
}

// Assignment is the name and value of a SET statement; Local marks SET LOCAL.
type Assignment struct {
	Name  string
	Value string
	Local bool
}

// maxCacheEntries is how many texts the cache holds; it is cleared when full.
const maxCacheEntries = 10_000

// maxCachedTextBytes is the max length of a cached text in bytes.
const maxCachedTextBytes = 4096

// Classifier classifies statements and caches the results by text. It is safe for
// concurrent use.
type Classifier struct {
	mu    sync.RWMutex
	cache map[string]Classification
}

// New returns a classifier with an empty cache.
func New() *Classifier {
	return &Classifier{cache: map[string]Classification{}}
}

// Classify returns the text without its hints, its classification, and the hints.
// It returns an Error of KindInvalid if a known hint has an invalid value.
func (c *Classifier) Classify(sql string) (string, Classification, Hints, error) {
	text, hints, err := extractHints(sql)
	if err != nil {
		return sql, Classification{}, hints, err
	}
	c.mu.RLock()
	class, found := c.cache[text]
	c.mu.RUnlock()
	if found {
		return text, class, hints, nil
	}
	class = classify(text)
	if len(text) <= maxCachedTextBytes {
		c.put(text, class)
	}
	return text, class, hints, nil
}

func (c *Classifier) put(text string, class Classification) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cache) >= maxCacheEntries {
		clear(c.cache)
	}
	c.cache[text] = class
}

func classify(text string) Classification {
	tree, err := query.Parse(text)
	if err != nil {
		return Classification{Write: true, StatementCount: 1}
	}
	class := Classification{StatementCount: len(tree.GetStmts())}
	for _, statement := range tree.GetStmts() {
		class.add(statement.GetStmt())
	}
	return class
}

// add merges the classification of one statement into c.
func (c *Classification) add(node *query.Node) {
	switch {
	case node.GetTransactionStmt() != nil:
		c.addTransaction(node.GetTransactionStmt())
	case node.GetSelectStmt() != nil, node.GetExplainStmt() != nil:
		c.addSelect(node)
	case node.GetVariableSetStmt() != nil:
		c.addSet(node.GetVariableSetStmt())
	case node.GetVariableShowStmt() != nil:
		c.Show = node.GetVariableShowStmt().GetName()
	default:
		c.Write = true
		c.UnsupportedFeature = unsupportedFeature(node)
	}
}

func (c *Classification) addTransaction(t *query.TransactionStmt) {
	switch t.GetKind() {
	case query.TransactionStmtKind_TRANS_STMT_BEGIN, query.TransactionStmtKind_TRANS_STMT_START:
		c.Begin = true
	case query.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		c.RollbackOnly = c.StatementCount == 1
		c.End = true
	case query.TransactionStmtKind_TRANS_STMT_COMMIT:
		c.End = true
	case query.TransactionStmtKind_TRANS_STMT_PREPARE,
		query.TransactionStmtKind_TRANS_STMT_COMMIT_PREPARED,
		query.TransactionStmtKind_TRANS_STMT_ROLLBACK_PREPARED:
		c.UnsupportedFeature = "two-phase commit"
	}
}

func (c *Classification) addSet(s *query.VariableSetStmt) {
	if c.StatementCount != 1 {
		c.UnsupportedFeature = "SET among other statements"
		return
	}
	c.Set = &Assignment{Name: s.GetName(), Value: setValue(s), Local: s.GetIsLocal()}
}

func setValue(s *query.VariableSetStmt) string {
	var parts []string
	for _, arg := range s.GetArgs() {
		constant := arg.GetAConst()
		switch {
		case constant.GetSval() != nil:
			parts = append(parts, constant.GetSval().GetSval())
		case constant != nil:
			parts = append(parts, constant.String())
		}
	}
	return strings.Join(parts, ",")
}

// unsupportedFeature returns the name of a feature in a statement that pooled
// connections don't support, or an empty string.
func unsupportedFeature(node *query.Node) string {
	switch {
	case node.GetListenStmt() != nil, node.GetUnlistenStmt() != nil:
		return "LISTEN"
	case node.GetPrepareStmt() != nil, node.GetExecuteStmt() != nil, node.GetDeallocateStmt() != nil:
		return "PREPARE as a statement (use the protocol's prepared statements)"
	case node.GetDeclareCursorStmt() != nil && node.GetDeclareCursorStmt().GetOptions()&cursorHold != 0:
		return "cursors WITH HOLD"
	case node.GetCopyStmt() != nil:
		return "COPY"
	case node.GetDiscardStmt() != nil:
		return "DISCARD"
	case node.GetCreateStmt().GetRelation().GetRelpersistence() == "t":
		return "temporary tables"
	}
	return ""
}

// cursorHold is PostgreSQL's option bit of WITH HOLD.
const cursorHold = 0x0020

// addSelect marks a SELECT or EXPLAIN as a write if it locks rows, writes, or
// calls a function that may do so.
func (c *Classification) addSelect(node *query.Node) {
	walk(node.ProtoReflect(), func(m protoreflect.Message) {
		switch message := m.Interface().(type) {
		case *query.SelectStmt:
			if len(message.GetLockingClause()) > 0 || message.GetIntoClause() != nil {
				c.Write = true
			}
		case *query.InsertStmt, *query.UpdateStmt, *query.DeleteStmt, *query.MergeStmt:
			c.Write = true
		case *query.FuncCall:
			c.addCall(message)
		}
	})
}

func (c *Classification) addCall(call *query.FuncCall) {
	names := call.GetFuncname()
	name := names[len(names)-1].GetString_().GetSval()
	if strings.HasPrefix(name, "pg_advisory_") && !strings.HasPrefix(name, "pg_advisory_xact_") {
		c.UnsupportedFeature = "session advisory locks"
	}
	if !readOnlyFunctions[name] {
		c.Write = true
	}
}

// walk calls visit for a message and, recursively, for the messages in its
// fields.
func walk(m protoreflect.Message, visit func(protoreflect.Message)) {
	visit(m)
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		if field.Kind() != protoreflect.MessageKind {
			return true
		}
		if !field.IsList() {
			walk(value.Message(), visit)
			return true
		}
		list := value.List()
		for i := range list.Len() {
			walk(list.Get(i).Message(), visit)
		}
		return true
	})
}
