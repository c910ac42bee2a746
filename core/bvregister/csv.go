package bvregister

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"balsamvane/core/bvfinding"
)

// The columns of the register. The optional ones may be absent.
var (
	requiredColumns = []string{"vm", "service", "zone", "address"}
	optionalColumns = []string{
		"region", "role", "port", "healthAddress", "controlAddress", "vni",
		"group", "protocol", "class", "weight", "slots", "connections",
	}
)

// column numbers index row.fields.
const (
	colVM = iota
	colService
	colZone
	colAddress
	colRegion
	colRole
	colPort
	colHealth
	colControl
	colVNI
	colGroup
	colProtocol
	colClass
	colWeight
	colSlots
	colConnections
	columnCount
)

// columnNames returns all column names in the order of the column numbers.
func columnNames() []string { return append(slices.Clone(requiredColumns), optionalColumns...) }

// role is the kind of object that a row describes.
type role uint8

const (
	roleUnknown role = iota
	roleUpstream
	roleBalancer
	roleService
)

// row is one line of the register. Its strings share the memory of the line;
// interning them took half of the time of an import at the design size.
type row struct {
	role    role
	line    int32
	columns [columnCount]int32 // Position of each field on its line; 0 if absent.
	fields  [columnCount]string
}

func (r *row) text(c int) string { return r.fields[c] }

// registerReader reads rows and reports problems.
type registerReader struct {
	file  string
	rules rules
	csv   *csv.Reader
	// index maps each column number to a field of the record, or -1.
	index [columnCount]int
	width int // Number of fields in the first line.
	list  *bvfinding.List
}

func (r *registerReader) place(line, column int) bvfinding.Place {
	return bvfinding.Place{File: r.file, Line: line, Column: column}
}

// readRegister returns the rows of the register that can be used; ok is false
// if the first line does not define the columns.
func readRegister(s Source, rules rules, l *bvfinding.List) (rows []row, ok bool) {
	content := bytes.TrimPrefix(s.Content, []byte("\xef\xbb\xbf"))
	r := &registerReader{file: s.Name, rules: rules, csv: csv.NewReader(bytes.NewReader(content)), list: l}
	r.csv.FieldsPerRecord = -1
	r.csv.ReuseRecord = true
	r.csv.Comma = rules.separator
	if !r.header() {
		return nil, false
	}
	for {
		record, err := r.csv.Read()
		if errors.Is(err, io.EOF) {
			return rows, true
		}
		if err != nil {
			r.syntax(err)
			continue
		}
		if w, ok := r.row(record); ok {
			rows = append(rows, w)
		}
	}
}

// syntax reports a line that is not valid CSV.
func (r *registerReader) syntax(err error) {
	var p *csv.ParseError
	if errors.As(err, &p) {
		r.list.Add(r.place(p.Line, p.Column), p.Err.Error(), `write a field that has quotes as "..." and double each quote inside it`)
		return
	}
	r.list.Add(r.place(0, 0), "cannot be read as CSV: "+err.Error(), "export the register as CSV in UTF-8")
}

// header reads the first line and reports missing and repeated columns.
func (r *registerReader) header() bool {
	record, err := r.csv.Read()
	if err != nil {
		if errors.Is(err, io.EOF) {
			r.list.Add(r.place(1, 1), "the register is empty", "write a first line with the column names: "+strings.Join(columnNames(), ","))
			return false
		}
		r.syntax(err)
		return false
	}
	r.width = len(record)
	seen := map[string]int{}
	for i, f := range record {
		f = strings.TrimSpace(f)
		if _, twice := seen[f]; twice && f != "" {
			line, column := r.csv.FieldPos(i)
			r.list.Add(r.place(line, column), "column "+quote(f)+" appears twice", "remove or rename one of the two")
			continue
		}
		seen[f] = i
	}
	return r.mapColumns(seen)
}

// mapColumns fills index from the header and the rules' column names.
func (r *registerReader) mapColumns(seen map[string]int) bool {
	ok := true
	for n, name := range columnNames() {
		title := name
		if m, mapped := r.rules.columns[name]; mapped {
			title = m.value
		}
		i, found := seen[title]
		r.index[n] = i
		if found {
			continue
		}
		r.index[n] = -1
		if m, mapped := r.rules.columns[name]; mapped {
			r.list.Add(m.place, "column "+quote(title)+" is not in the register", "write the name of a column as it appears in the first line of "+r.file)
			ok = false
		} else if n < len(requiredColumns) {
			r.list.Add(r.place(1, 1), "column "+quote(name)+" is missing",
				"add the column, or name the one that has it: \"columns: {"+name+": NAME}\" in the rules")
			ok = false
		}
	}
	return ok
}

// row converts a record; ok is false for a line that cannot be used.
func (r *registerReader) row(record []string) (row, bool) {
	line, _ := r.csv.FieldPos(0)
	if len(record) != r.width {
		r.list.Add(r.place(line, 1), fmt.Sprintf("the line has %d fields and the first line has %d", len(record), r.width),
			"write one field for each column; quote a field that contains the separator")
		return row{}, false
	}
	w := row{line: int32(line)}
	empty := true
	for n, i := range r.index {
		text := ""
		if i >= 0 {
			text = strings.TrimSpace(record[i])
			_, column := r.csv.FieldPos(i)
			w.columns[n] = int32(column)
		}
		empty = empty && text == ""
		w.fields[n] = text
	}
	if empty {
		return row{}, false
	}
	w.role = r.role(&w)
	return w, w.role != roleUnknown
}

// role reads the role of a row. A row without a role describes an upstream if
// it names a VM and a service otherwise.
func (r *registerReader) role(w *row) role {
	text := w.text(colRole)
	if known, ok := r.rules.roles[strings.ToLower(text)]; ok {
		return known
	}
	switch strings.ToLower(text) {
	case "upstream":
		return roleUpstream
	case "balancer":
		return roleBalancer
	case "service":
		return roleService
	case "":
		if w.text(colVM) == "" {
			return roleService
		}
		return roleUpstream
	}
	r.list.Add(r.place(int(w.line), int(w.columns[colRole])), "unknown role "+quote(text),
		"write upstream, balancer or service, or add \"roles: {"+text+": upstream}\" to the rules")
	return roleUnknown
}
