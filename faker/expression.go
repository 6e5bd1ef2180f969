package faker

import (
	"strconv"

	query "github.com/pganalyze/pg_query_go/v6"
)

// scope is what an expression is evaluated in.
type scope struct {
	row    Row
	params []Value
}

// evaluate computes an expression of constants, parameters, columns, casts and
// the operators + - ||.
func evaluate(node *query.Node, in scope) (Value, error) {
	switch {
	case node.GetAConst() != nil:
		return constant(node.GetAConst())
	case node.GetParamRef() != nil:
		return parameter(node.GetParamRef(), in)
	case node.GetColumnRef() != nil:
		return column(node.GetColumnRef(), in)
	case node.GetTypeCast() != nil:
		return evaluate(node.GetTypeCast().GetArg(), in)
	case node.GetAExpr() != nil:
		return operation(node.GetAExpr(), in)
	}
	return Value{}, fail("evaluate", KindUnsupported, "expression is not supported by the stand-in")
}

func constant(c *query.A_Const) (Value, error) {
	switch {
	case c.GetIsnull():
		return Value{Null: true}, nil
	case c.GetSval() != nil:
		return text(c.GetSval().GetSval()), nil
	case c.GetFval() != nil:
		return text(c.GetFval().GetFval()), nil
	case c.GetBoolval() != nil:
		return truth(c.GetBoolval().GetBoolval()), nil
	}
	return text(strconv.Itoa(int(c.GetIval().GetIval()))), nil
}

func truth(b bool) Value {
	if b {
		return text("t")
	}
	return text("f")
}

func parameter(p *query.ParamRef, in scope) (Value, error) {
	n := int(p.GetNumber())
	if n < 1 || n > len(in.params) {
		return Value{}, fail("evaluate", KindInvalid, "there is no parameter $%d", n)
	}
	return in.params[n-1], nil
}

func column(ref *query.ColumnRef, in scope) (Value, error) {
	name := columnName(ref)
	value, found := in.row[name]
	if !found {
		return Value{}, fail("evaluate", KindNoColumn, "column %q does not exist", name)
	}
	return value, nil
}

// columnName returns the last part of a column's name, or "*".
func columnName(ref *query.ColumnRef) string {
	fields := ref.GetFields()
	last := fields[len(fields)-1]
	if last.GetAStar() != nil {
		return "*"
	}
	return last.GetString_().GetSval()
}

func operation(e *query.A_Expr, in scope) (Value, error) {
	if e.GetLexpr() == nil {
		return negative(e, in)
	}
	left, err := evaluate(e.GetLexpr(), in)
	if err != nil {
		return Value{}, err
	}
	right, err := evaluate(e.GetRexpr(), in)
	if err != nil {
		return Value{}, err
	}
	if left.Null || right.Null {
		return Value{Null: true}, nil
	}
	return combine(operator(e), left.Text, right.Text)
}

func operator(e *query.A_Expr) string {
	return e.GetName()[0].GetString_().GetSval()
}

func negative(e *query.A_Expr, in scope) (Value, error) {
	right, err := evaluate(e.GetRexpr(), in)
	if err != nil {
		return Value{}, err
	}
	return combine("-", "0", right.Text)
}

func combine(op, left, right string) (Value, error) {
	switch op {
	case "||":
		return text(left + right), nil
	case "=":
		return truth(left == right), nil
	case "<>":
		return truth(left != right), nil
	}
	a, errA := strconv.ParseFloat(left, 64)
	b, errB := strconv.ParseFloat(right, 64)
	numeric := errA == nil && errB == nil
	switch op {
	case "<":
		return truth(numeric && a < b || !numeric && left < right), nil
	case ">":
		return truth(numeric && a > b || !numeric && left > right), nil
	case "<=":
		return truth(numeric && a <= b || !numeric && left <= right), nil
	case ">=":
		return truth(numeric && a >= b || !numeric && left >= right), nil
	}
	if !numeric {
		return Value{}, fail("evaluate", KindInvalid, "operator %s needs numbers", op)
	}
	switch op {
	case "+":
		return number(a + b), nil
	case "-":
		return number(a - b), nil
	}
	return Value{}, fail("evaluate", KindUnsupported, "operator %s is not supported by the stand-in", op)
}

func number(f float64) Value {
	return text(strconv.FormatFloat(f, 'f', -1, 64))
}

// matches reports whether a row meets a WHERE clause of comparisons joined by
// AND and OR.
func matches(where *query.Node, in scope) (bool, error) {
	if where == nil {
		return true, nil
	}
	if list := where.GetBoolExpr(); list != nil {
		return matchesList(list, in)
	}
	value, err := evaluate(where, in)
	return value.Text == "t" && !value.Null, err
}

func matchesList(list *query.BoolExpr, in scope) (bool, error) {
	all := list.GetBoolop() == query.BoolExprType_AND_EXPR
	for _, arg := range list.GetArgs() {
		met, err := matches(arg, in)
		if err != nil {
			return false, err
		}
		if met != all {
			return met, nil
		}
	}
	return all, nil
}

// keyOf returns the primary key that a WHERE clause fixes, if it does.
func keyOf(where *query.Node, primary string, in scope) (string, bool) {
	if where == nil {
		return "", false
	}
	if list := where.GetBoolExpr(); list != nil && list.GetBoolop() == query.BoolExprType_AND_EXPR {
		for _, arg := range list.GetArgs() {
			if key, found := keyOf(arg, primary, in); found {
				return key, true
			}
		}
		return "", false
	}
	e := where.GetAExpr()
	if e == nil || operator(e) != "=" || e.GetLexpr().GetColumnRef() == nil {
		return "", false
	}
	if columnName(e.GetLexpr().GetColumnRef()) != primary {
		return "", false
	}
	value, err := evaluate(e.GetRexpr(), in)
	return value.Text, err == nil && !value.Null
}
