;; A plug-in for tinbeam that refuses redials (calls with flag 2 in $marks) and lets all other calls pass.
;; refuse-redials.wasm is the binary form of this text; any WebAssembly assembler can rebuild it.
(module
  (func (export "refuse") (param $class i32) (param $number i64) (param $dest i32) (param $left_ms i32) (param $marks i32)
    (result i32)
    (i32.and (local.get $marks) (i32.const 2))))
