;; A plug-in for tinbeam: refuses calls that are dialled again (mark 2), and lets all others through.
;; refuse-redials.wasm is this text in binary form; any WebAssembly assembler makes it anew.
(module
  (func (export "refuse") (param $class i32) (param $number i64) (param $dest i32) (param $left_ms i32) (param $marks i32)
    (result i32)
    (i32.and (local.get $marks) (i32.const 2))))
