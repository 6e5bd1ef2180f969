package faker

import (
	"strconv"

	query "github.com/pganalyze/pg_query_go/v6"
)

// scope holds the row and the parameters that an expression can refer to.
type scope struct {
	row    Row
	params []Value
}

// evaluate returns the value of an expression of constants, parameters, columns,
// casts, which have no effect, and operators. It fails with KindUnsupported for
// any other expression.
func evaluate(node *query.Node, in scope) (Value, error) {
	switch {
	case node.GetAConst() != nil:
		return evalConstant(node.GetAConst())
	case node.GetParamRef() != nil:
		return evalParameter(node.GetParamRef(), in)
	case node.GetColumnRef() != nil:
		return evalColumn(node.GetColumnRef(), in)
	case node.GetTypeCast() != nil:
		return evaluate(node.GetTypeCast().GetArg(), in)
	case node.GetAExpr() != nil:
		return evalOperation(node.GetAExpr(), in)
	}
	return Value{}, newError("evaluate", KindUnsupported, "expression is not supported by the stand-in")
}

func evalConstant(c *query.A_Const) (Value, error) {
	switch {
	case c.GetIsnull():
		return Value{Null: true}, nil
	case c.GetSval() != nil:
		return textValue(c.GetSval().GetSval()), nil
	case c.GetFval() != nil:
		return textValue(c.GetFval().GetFval()), nil
	case c.GetBoolval() != nil:
		return boolValue(c.GetBoolval().GetBoolval()), nil
	}
	return textValue(strconv.Itoa(int(c.GetIval().GetIval()))), nil
}

// boolValue returns a boolean in PostgreSQL's text form, "t" or "f".
func boolValue(b bool) Value {
	if b {
		return textValue("t")
	}
	return textValue("f")
}

func evalParameter(p *query.ParamRef, in scope) (Value, error) {
	n := int(p.GetNumber())
	if n < 1 || n > len(in.params) {
		return Value{}, newError("evaluate", KindInvalid, "there is no parameter $%d", n)
	}
	return in.params[n-1], nil
}

func evalColumn(ref *query.ColumnRef, in scope) (Value, error) {
	name := columnName(ref)
	value, found := in.row[name]
	if !found {
		return Value{}, newError("evaluate", KindNoColumn, "column %q does not exist", name)
	}
	return value, nil
}

// columnName returns the name of a column without its table, or "*".
func columnName(ref *query.ColumnRef) string {
	fields := ref.GetFields()
	last := fields[len(fields)-1]
	if last.GetAStar() != nil {
		return "*"
	}
	return last.GetString_().GetSval()
}

// evalOperation evaluates an expression with an operator. A binary operator
// yields NULL if an operand is NULL. A prefix operator is treated as a minus.
func evalOperation(e *query.A_Expr, in scope) (Value, error) {
	if e.GetLexpr() == nil {
		return evalNegation(e, in)
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
	return applyOperator(operatorName(e), left.Text, right.Text)
}

func operatorName(e *query.A_Expr) string {
	return e.GetName()[0].GetString_().GetSval()
}

func evalNegation(e *query.A_Expr, in scope) (Value, error) {
	right, err := evaluate(e.GetRexpr(), in)
	if err != nil {
		return Value{}, err
	}
	return applyOperator("-", "0", right.Text)
}

// applyOperator applies a binary operator: || = <> < > <= >= + or -. The
// operators = and <> compare texts. The other comparisons compare numbers if
// both operands are numbers, and texts if not. It fails for any other operator,
// and with KindInvalid if an operand of + or - is not a number.
func applyOperator(op, left, right string) (Value, error) {
	switch op {
	case "||":
		return textValue(left + right), nil
	case "=":
		return boolValue(left == right), nil
	case "<>":
		return boolValue(left != right), nil
	}
	a, errA := strconv.ParseFloat(left, 64)
	b, errB := strconv.ParseFloat(right, 64)
	numeric := errA == nil && errB == nil
	switch op {
	case "<":
		return boolValue(numeric && a < b || !numeric && left < right), nil
	case ">":
		return boolValue(numeric && a > b || !numeric && left > right), nil
	case "<=":
		return boolValue(numeric && a <= b || !numeric && left <= right), nil
	case ">=":
		return boolValue(numeric && a >= b || !numeric && left >= right), nil
	}
	if !numeric {
		return Value{}, newError("evaluate", KindInvalid, "operator %s needs numbers", op)
	}
	switch op {
	case "+":
		return numberValue(a + b), nil
	case "-":
		return numberValue(a - b), nil
	}
	return Value{}, newError("evaluate", KindUnsupported, "operator %s is not supported by the stand-in", op)
}

func numberValue(f float64) Value {
	return textValue(strconv.FormatFloat(f, 'f', -1, 64))
}

// evalCondition reports whether a WHERE clause of comparisons joined by AND and
// OR is true. A missing clause is true.
func evalCondition(condition *query.Node, in scope) (bool, error) {
	if condition == nil {
		return true, nil
	}
	if list := condition.GetBoolExpr(); list != nil {
		return evalBoolExpr(list, in)
	}
	value, err := evaluate(condition, in)
	return value.Text == "t" && !value.Null, err
}

func evalBoolExpr(list *query.BoolExpr, in scope) (bool, error) {
	all := list.GetBoolop() == query.BoolExprType_AND_EXPR
	for _, arg := range list.GetArgs() {
		matched, err := evalCondition(arg, in)
		if err != nil {
			return false, err
		}
		if matched != all {
			return matched, nil
		}
	}
	return all, nil
}

// primaryKeyInWhere returns the primary key that a WHERE clause requires with an
// equality, either alone or joined to other conditions by AND, and whether there
// is one.
func primaryKeyInWhere(where *query.Node, keyColumn string, in scope) (string, bool) {
	if where == nil {
		return "", false
	}
	if list := where.GetBoolExpr(); list != nil && list.GetBoolop() == query.BoolExprType_AND_EXPR {
		for _, arg := range list.GetArgs() {
			if key, found := primaryKeyInWhere(arg, keyColumn, in); found {
				return key, true
			}
		}
		return "", false
	}
	e := where.GetAExpr()
	if e == nil || operatorName(e) != "=" || e.GetLexpr().GetColumnRef() == nil {
		return "", false
	}
	if columnName(e.GetLexpr().GetColumnRef()) != keyColumn {
		return "", false
	}
	value, err := evaluate(e.GetRexpr(), in)
	return value.Text, err == nil && !value.Null
}
