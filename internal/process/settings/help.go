package settings

import (
	"embed"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
)

// sources holds the declarations whose doc comments the help text repeats, so that help and code cannot differ.
//
//go:embed entry.go sidecar.go
var sources embed.FS

// Field describes one setting.
type Field struct {
	// Path is the JSON path, for example limits.body_bytes.
	Path string
	// Doc is the doc comment of the Go field, on one line.
	Doc string
	// Allowed describes the allowed values.
	Allowed string
	// Default is the default value, or empty when the field has none.
	Default string
	// Required is set for a field that must be present.
	Required bool
}

// Fields returns the settings of T in the order of their declaration. Doc is empty for types that are declared neither in
// the embedded files of this package nor in source.
func Fields[T any](source ...embed.FS) []Field {
	docs := make(map[string]string)
	for _, files := range append([]embed.FS{sources}, source...) {
		docComments(files, docs)
	}
	return fields(reflect.TypeFor[T](), "", docs)
}

func fields(t reflect.Type, path string, docs map[string]string) []Field {
	var list []Field
	for i := range t.NumField() {
		field := t.Field(i)
		at := join(path, jsonName(field))
		if field.Type.Kind() == reflect.Struct {
			list = append(list, fields(field.Type, at, docs)...)
			continue
		}
		if isStructList(field.Type) {
			list = append(list, fields(field.Type.Elem(), at+"[]", docs)...)
			continue
		}
		value, hasDefault := field.Tag.Lookup(tagDefault)
		list = append(list, Field{
			Path: at, Doc: docs[t.Name()+"."+field.Name], Allowed: Allowed(field), Default: value,
			Required: !hasDefault && field.Tag.Get(tagOptional) != "true",
		})
	}
	return list
}

// docComments adds the doc comments of struct fields to docs, with keys of the form TYPE.FIELD.
func docComments(files embed.FS, docs map[string]string) {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err) // the files are embedded
	}
	for _, entry := range entries {
		text, err := files.ReadFile(entry.Name())
		if err != nil {
			panic(err) // the files are embedded
		}
		file, err := parser.ParseFile(token.NewFileSet(), entry.Name(), text, parser.ParseComments)
		if err != nil {
			panic(err) // the files were compiled
		}
		ast.Inspect(file, func(n ast.Node) bool { addFieldDocs(n, docs); return true })
	}
}

func addFieldDocs(n ast.Node, docs map[string]string) {
	spec, ok := n.(*ast.TypeSpec)
	if !ok {
		return
	}
	body, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	for _, field := range body.Fields.List {
		for _, name := range field.Names {
			docs[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
		}
	}
}

// Help returns a text that describes each setting of T. source is as for Fields.
func Help[T any](source ...embed.FS) string {
	var b strings.Builder
	b.WriteString("Settings (JSON):\n")
	for _, f := range Fields[T](source...) {
		state := "required"
		switch {
		case f.Default != "":
			state = "default " + f.Default
		case !f.Required:
			state = "optional"
		}
		fmt.Fprintf(&b, "  %s (%s): %s.\n", f.Path, state, f.Allowed)
		if f.Doc != "" {
			fmt.Fprintf(&b, "      %s\n", f.Doc)
		}
	}
	return b.String()
}
