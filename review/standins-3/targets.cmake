# Included by the project's own build through CMAKE_PROJECT_cicadahatch_INCLUDE, see build-3.sh.
# The programs use the project's stand-ins, whose targets exist only once the project is read.
function(add_review_programs)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/review/standins-3/case_*.cpp)
    foreach(source ${sources})
        get_filename_component(name ${source} NAME_WE)
        add_executable(review_${name} ${source})
        set_target_properties(review_${name} PROPERTIES CXX_STANDARD 20 CXX_EXTENSIONS OFF)
        target_link_libraries(review_${name} PRIVATE test_support)
    endforeach()
endfunction()
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL add_review_programs)
